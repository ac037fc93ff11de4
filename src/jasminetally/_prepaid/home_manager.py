"""Homes of prepaid tokens at this router, and their stored records."""

from __future__ import annotations

import asyncio
import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._platform import store_calls
from jasminetally._prepaid import home_takeover
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import record_writer
from jasminetally._prepaid import shard_home
from jasminetally._prepaid import unreconciled_homes
from jasminetally._shared import background_tasks

# Longest time that a request waits until this router is the home.
ACQUIRE_WAIT_S = 0.3
# Attempts and pause to find the successor of a closed epoch.
RETURN_ATTEMPTS = 10
RETURN_PAUSE_S = 0.3
# Longest time that a request waits for a write of a record.
STORE_WAIT_S = 0.12
# Time after which a caller may come back while the correction of a count is
# expected: two status intervals of the fleet.
CORRECTION_WAIT_S = 0.5
# Routers answer each other within milliseconds.
CALL_TIMEOUT_S = 0.5


class HomeManager:
    """Take over, keep and hand over homes of prepaid tokens.

    Each shard of accounts has one home, the router that hands out its tokens
    to all others up to bounds in the platform's store. The store decides who
    that is; the fleet view only says who tries.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: store_calls.StoreCalls,
        log: event_log.EventLog,
        tasks: background_tasks.BackgroundTasks,
    ) -> None:
        self.leaving = False
        self._fleet = fleet
        self._store = store
        self._log = log
        self._tasks = tasks
        self._prepaid: dict[int, dict[str, int]] = {}
        self._homes: dict[int, shard_home.ShardHome] = {}
        self._takeover = home_takeover.HomeTakeover(fleet, store, log)
        self._writer = record_writer.RecordWriter(
            fleet,
            store,
            log,
            is_home=lambda home: self._homes.get(home.shard) is home,
            supersede=self._supersede,
        )
        # Highest epoch in which this router handed out tokens, by shard.
        self._acted: dict[int, int] = {}
        self._unaccounted = unreconciled_homes.UnreconciledHomes()

    def update_prepaid(self, prepaid: dict[str, int]) -> None:
        """Note what has been paid for, by account."""
        self._prepaid = {}
        for account, tokens in prepaid.items():
            shard = pool_record.shard_of(account)
            self._prepaid.setdefault(shard, {})[account] = tokens
        for shard, home in self._homes.items():
            home.update_prepaid(self._prepaid.get(shard, {}))

    def is_home(self, shard: int) -> bool:
        """Return whether this router is the home of a shard."""
        return shard in self._homes

    def shard_epochs(self) -> dict[int, int]:
        """Return the epochs of the shards at home here."""
        return {shard: home.epoch for shard, home in self._homes.items()}

    def scarce_accounts(self) -> list[str]:
        """Return the accounts at home here that are nearly used up."""
        now_s = time.monotonic()
        return [
            account
            for home in self._homes.values()
            for account in home.scarce_accounts(now_s)
        ]

    def preferred_home(self, shard: int) -> str:
        """Return the incarnation that should become the home of a shard."""
        found = self._fleet.home_candidates(f"shard {shard}")
        return found[0].incarnation

    async def take_tokens(
        self, message: peer_messages.TakeTokens
    ) -> peer_messages.TokensTaken | peer_messages.NotHome:
        """Hand out tokens, after storing a higher bound if that is needed."""
        home = self._homes.get(pool_record.shard_of(message.account))
        if home is None:
            return peer_messages.NotHome("")
        account = message.account
        found = home.accounts.get(account)
        if (
            found is not None
            and message.needed
            > home.available_tokens(account, time.monotonic())
            and found.covers(message.needed)
            and self._store.reachable
        ):
            await self._store_in_time(home, account, message.needed)
        if self._homes.get(home.shard) is not home:
            return peer_messages.NotHome("")
        now_s = time.monotonic()
        taken = home.take_tokens(
            account,
            message.needed,
            message.wished,
            routers=len(self._fleet.view.preferred_nodes(now_s)),
            now_s=now_s,
        )
        if taken.exhausted and self._unaccounted.expected(account, now_s):
            return msgspec.structs.replace(
                taken, exhausted=False, wait_s=CORRECTION_WAIT_S
            )
        return taken

    def return_tokens(self, account: str, tokens: int) -> bool:
        """Take unused tokens back; return whether the home is here."""
        home = self._homes.get(pool_record.shard_of(account))
        if home is None or account not in home.accounts:
            return False
        home.accounts[account].return_tokens(tokens, time.monotonic())
        return True

    def on_return_tokens(
        self, message: peer_messages.ReturnTokens
    ) -> peer_messages.Done | peer_messages.NotHome:
        """Take tokens back from another router."""
        account = message.account
        if not message.closed_epoch:
            if self.return_tokens(account, message.tokens):
                return peer_messages.Done()
            return peer_messages.NotHome("")
        home = self._homes.get(pool_record.shard_of(account))
        if home is None or account not in home.accounts:
            return peer_messages.NotHome("")
        if self._unaccounted.on_return(account, message.closed_epoch):
            home.accounts[account].credit_unspent(message.tokens)
        # Otherwise it is accounted for already, by the time of its end.
        return peer_messages.Done()

    def reconcile_ended_homes(
        self, identity: node_identity.NodeIdentity, started_s: float | None
    ) -> None:
        """Account for homes that ended before a later run of their router.

        Args:
            identity: The later run.
            started_s: Time of day of its start, or None if not known.
        """
        if started_s is None:
            return
        for found in self._unaccounted.on_later_run(identity, started_s):
            shard = pool_record.shard_of(found.account)
            home = self._homes.get(shard)
            if home is None or found.account not in home.accounts:
                continue
            unspent = found.limit - found.spent
            home.accounts[found.account].credit_unspent(unspent)
            self._log.emit(
                events.HomeAccounted(
                    account=found.account,
                    before=found.record.home,
                    epoch=found.record.epoch,
                    limit=found.limit,
                    spent=found.spent,
                    ended_s=started_s,
                    written_s=found.record.written_s,
                )
            )

    def on_hand_over(
        self, message: peer_messages.HandOver
    ) -> peer_messages.Done | None:
        """Become the home of a shard in the place of another router.

        Until this router has stored a record of its own, it hands out only
        what the sender could have: the stored record still bounds the total
        by the time at which the sender ends.
        """
        shard = message.shard
        if self.leaving or shard in self._homes:
            return None
        frozen = {
            account: bound._replace(
                usable=message.usable.get(account, bound.base), rate=0
            )
            for account, bound in message.record.accounts.items()
        }
        record = msgspec.structs.replace(message.record, accounts=frozen)
        home = shard_home.ShardHome(
            shard,
            record,
            version=message.version,
            written_s=time.monotonic(),
        )
        home.update_prepaid(self._prepaid.get(shard, {}))
        for account, granted in message.granted.items():
            if account in home.accounts:
                home.accounts[account].granted = granted
        self._homes[shard] = home
        self._acted[shard] = record.epoch
        self._log.emit(events.HomeReceived(shard=shard, epoch=record.epoch))
        return peer_messages.Done()

    def maintain_homes(self, now_s: float) -> None:
        """Store due records, and take over shards without a home."""
        own = self._fleet.own.incarnation
        self.reconcile_ended_homes(self._fleet.own, self._fleet.started_at())
        for shard, epoch in self._fleet.homes_elsewhere(now_s).items():
            held = self._homes.get(shard)
            if held is not None and held.epoch < epoch:
                self._supersede(held)
        for shard, home in list(self._homes.items()):
            if self._writer.due(home, now_s):
                work = self._writer.store_plan(home)
                self._tasks.start(f"record {shard}", work)
        if self.leaving:
            return
        for shard in self._prepaid:
            if (
                shard not in self._homes
                and self._fleet.home_of(shard, now_s) is None
                and self.preferred_home(shard) == own
            ):
                self._tasks.start(f"acquire {shard}", self.acquire_shard(shard))

    async def acquire_shard(self, shard: int) -> bool:
        """Become the home of a shard; return whether this router is."""
        if shard in self._homes:
            return True
        if not self._fleet.settled or self.leaving:
            return False
        name = f"become home {shard}"
        self._tasks.start(name, self._become_home(shard))
        # The store may be slow or silent; a request does not wait for it.
        await self._tasks.wait(name, ACQUIRE_WAIT_S)
        return shard in self._homes

    async def hand_over_homes(self) -> None:
        """Hand over all shards at home here."""
        self.leaving = True
        await asyncio.gather(
            *(self._hand_over(shard) for shard in list(self._homes))
        )

    async def _store_in_time(
        self, home: shard_home.ShardHome, account: str, needed: int
    ) -> None:
        """Store a higher bound, but keep a request waiting only briefly.

        Requests that come while a write is under way are in the next one.
        """
        name = f"record {home.shard}"
        now_s = time.monotonic()
        end_s = now_s + STORE_WAIT_S
        home.waiting_tokens[account] += needed
        try:
            while (
                now_s < end_s
                and needed > home.available_tokens(account, now_s)
                and home.accounts[account].covers(needed)
                and self._homes.get(home.shard) is home
                and self._writer.may_write(home, now_s)
            ):
                self._tasks.start(name, self._writer.store_plan(home))
                await self._tasks.wait(name, end_s - now_s)
                now_s = time.monotonic()
        finally:
            home.waiting_tokens[account] -= needed

    def _supersede(self, home: shard_home.ShardHome) -> None:
        """Stop to hand out tokens after another router took over.

        The successor counts everything up to the limits as spent, so what was
        not handed out goes back to it.
        """
        if self._homes.get(home.shard) is not home:
            return
        del self._homes[home.shard]
        unspent = {
            account: max(0, bound.limit - home.accounts[account].granted)
            for account, bound in home.record.accounts.items()
            if account in home.accounts
        }
        self._unaccounted.forget(unspent)
        self._log.emit(
            events.HomeSuperseded(
                shard=home.shard, epoch=home.epoch, unspent=unspent
            )
        )
        self._tasks.start(
            f"return {home.shard} {home.epoch}",
            self._return_unspent(home, unspent),
        )

    async def _return_unspent(
        self, home: shard_home.ShardHome, unspent: dict[str, int]
    ) -> None:
        """Give what was not handed out to the successor, once for each."""
        for _ in range(RETURN_ATTEMPTS):
            target = self._fleet.home_of(home.shard, time.monotonic())
            if target is not None:
                break
            await asyncio.sleep(RETURN_PAUSE_S)
        else:
            self._log.emit(
                events.ReturnLost(shard=home.shard, reason="no home")
            )
            return
        for account, tokens in unspent.items():
            message = peer_messages.ReturnTokens(account, tokens, home.epoch)
            try:
                await self._fleet.call(
                    target, message, timeout_s=CALL_TIMEOUT_S
                )
            except _errors.PeerUnreachableError as exc:
                self._log.emit(
                    events.ReturnLost(
                        account=account, tokens=tokens, reason=str(exc)
                    )
                )

    async def _become_home(self, shard: int) -> None:
        prepaid = self._prepaid.get(shard, {})
        taken = await self._takeover.run(
            shard, prepaid, acted_epoch=self._acted.get(shard, 0)
        )
        if taken is None:
            return
        if taken.before is not None:
            self._unaccounted.add(taken.before, time.monotonic())
        record = taken.record
        self._acted[shard] = record.epoch
        home = shard_home.ShardHome(
            shard, record, version=taken.version, written_s=taken.written_s
        )
        home.update_prepaid(self._prepaid.get(shard, {}))
        self._homes[shard] = home
        self._log.emit(
            events.HomeTaken(
                shard=shard,
                epoch=record.epoch,
                before=taken.before.home if taken.before else "",
                accounts=record.accounts,
            )
        )

    async def _hand_over(self, shard: int) -> None:
        home = self._homes.pop(shard)
        self._unaccounted.forget(home.accounts)
        now_s = time.monotonic()
        message = peer_messages.HandOver(
            shard,
            home.record,
            home.version,
            {name: found.granted for name, found in home.accounts.items()},
            {name: home.usable(name, now_s) for name in home.accounts},
        )
        for successor in self._fleet.home_candidates(f"shard {shard}"):
            if successor.incarnation == self._fleet.own.incarnation:
                continue
            try:
                reply = await self._fleet.call(
                    successor.incarnation, message, timeout_s=CALL_TIMEOUT_S
                )
            except _errors.PeerUnreachableError as exc:
                # It may have been applied, so nobody else may get the rest.
                self._log.emit(events.HomeLost(shard=shard, reason=str(exc)))
                return
            if isinstance(reply, peer_messages.Done):
                self._fleet.note_home(shard, successor.incarnation)
                self._log.emit(
                    events.HomeHandedOver(
                        shard=shard, epoch=home.epoch, to=successor.incarnation
                    )
                )
                return
        await self._writer.give_up(home)
