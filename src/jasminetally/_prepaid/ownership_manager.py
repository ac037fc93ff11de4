"""Ownership of shards of prepaid accounts by this router."""

from __future__ import annotations

import asyncio
import time

import msgspec

from jasminetally import _errors
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._peers import peer_messages
from jasminetally._platform import async_store
from jasminetally._prepaid import ceiling_reader
from jasminetally._prepaid import ceiling_sender
from jasminetally._prepaid import ceiling_witness
from jasminetally._prepaid import owned_shard
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import previous_owners
from jasminetally._prepaid import record_writer
from jasminetally._prepaid import shard_takeover
from jasminetally._shared import background_tasks

# Longest time that a request waits for this router to become the owner.
ACQUIRE_TIMEOUT_S = 0.3
# Attempts and interval of looking up the successor of a closed epoch.
MAX_SUCCESSOR_LOOKUP_ATTEMPTS = 10
SUCCESSOR_LOOKUP_INTERVAL_S = 0.3
# Longest time that a request waits for a higher bound to be stored.
BOUND_WRITE_TIMEOUT_S = 0.12
# Time after which a caller may retry while the count of its account is about
# to be corrected: two status intervals of the fleet.
CORRECTION_RETRY_AFTER_S = 0.5
# Routers answer each other within milliseconds.
PEER_CALL_TIMEOUT_S = 0.5


class OwnershipManager:
    """Takes over shards, hands out their tokens and hands shards over.

    The owner of a shard is the one router that hands out the tokens of its
    accounts to all others, up to bounds in the platform's store. A conditional
    write to the store decides which router is the owner; the fleet view only
    decides which router attempts the write.

    Attributes:
        leaving: The router is shutting down and takes over no more shards.
        witness: Ceilings that this router holds for other owners.
        previous_owners: Owners that this router has replaced.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: async_store.AsyncStore,
        log: event_log.EventLog,
        tasks: background_tasks.BackgroundTasks,
    ) -> None:
        self.leaving = False
        self._fleet = fleet
        self._store = store
        self._log = log
        self._tasks = tasks
        self._prepaid_by_shard: dict[int, dict[str, int]] = {}
        self._owned_shards: dict[int, owned_shard.OwnedShard] = {}
        self._writer = record_writer.RecordWriter(
            fleet,
            store,
            log,
            is_owned=lambda owned: self._owned_shards.get(owned.shard) is owned,
            supersede=self._supersede,
        )
        # Highest epoch in which this router was the owner, by shard.
        self._last_epochs: dict[int, int] = {}
        self.witness = ceiling_witness.CeilingWitness(fleet.own.incarnation)
        self._ceiling_sender = ceiling_sender.CeilingSender(fleet, tasks)
        reader = ceiling_reader.CeilingReader(fleet, self.witness)
        self._takeover = shard_takeover.ShardTakeover(fleet, store, log, reader)
        self.previous_owners = previous_owners.PreviousOwners(
            reader,
            log,
            tasks,
            credit_unspent=self._credit_unspent,
        )
        store.add_restored_callback(self._on_store_restored)

    def update_prepaid(self, prepaid: dict[str, int]) -> None:
        """Set the tokens that have been paid for.

        Args:
            prepaid: Total tokens paid for, by client account.
        """
        self._prepaid_by_shard = {}
        for account, tokens in prepaid.items():
            shard = pool_record.shard_of(account)
            self._prepaid_by_shard.setdefault(shard, {})[account] = tokens
        for shard, owned in self._owned_shards.items():
            owned.update_prepaid(self._prepaid_by_shard.get(shard, {}))

    def is_owner(self, shard: int) -> bool:
        """Return whether this router is the owner of a shard."""
        return shard in self._owned_shards

    def shard_epochs(self) -> dict[int, int]:
        """Return the epochs of the shards that this router owns."""
        return {
            shard: owned.epoch for shard, owned in self._owned_shards.items()
        }

    def scarce_accounts(self) -> list[str]:
        """Return the accounts of owned shards that are nearly used up."""
        now_s = time.monotonic()
        return [
            account
            for owned in self._owned_shards.values()
            for account in owned.scarce_accounts(now_s)
        ]

    def preferred_owner(self, shard: int) -> str:
        """Return the incarnation that should become the owner of a shard."""
        candidates = self._fleet.store_delegates(f"shard {shard}")
        return candidates[0].incarnation

    async def take_tokens(
        self, message: peer_messages.TakeTokens
    ) -> peer_messages.TakeTokensReply | peer_messages.NotOwner:
        """Hand out tokens, after storing a higher bound if necessary."""
        owned = self._owned_shards.get(pool_record.shard_of(message.account))
        if owned is None:
            return peer_messages.NotOwner("")
        account = message.account
        pool = owned.accounts.get(account)
        urgent = pool is None or pool.is_urgent(message.rank, time.monotonic())
        if (
            pool is not None
            and message.needed
            > owned.available_tokens(account, time.monotonic(), urgent=urgent)
            and pool.covers(message.needed, urgent=urgent)
        ):
            await self._wait_for_higher_bound(owned, account, message.needed)
        if self._owned_shards.get(owned.shard) is not owned:
            return peer_messages.NotOwner("")
        now_s = time.monotonic()
        taken = owned.take_tokens(
            account,
            message.needed,
            message.wished,
            routers=len(self._fleet.view.preferred_nodes(now_s)),
            now_s=now_s,
            urgent=urgent,
        )
        if taken.exhausted and self.previous_owners.correction_expected(
            account, now_s
        ):
            return msgspec.structs.replace(
                taken, exhausted=False, wait_s=CORRECTION_RETRY_AFTER_S
            )
        return taken

    def return_tokens(self, account: str, tokens: int) -> bool:
        """Take unused tokens back if this router owns the account's shard.

        Returns:
            Whether this router is the owner and has credited the tokens.
        """
        owned = self._owned_shards.get(pool_record.shard_of(account))
        if owned is None or account not in owned.accounts:
            return False
        owned.accounts[account].return_tokens(tokens, time.monotonic())
        return True

    def on_return_tokens(
        self, message: peer_messages.ReturnTokens
    ) -> peer_messages.Ack | peer_messages.NotOwner:
        """Handle a message by which another router returns tokens."""
        account = message.account
        if not message.closed_epoch:
            if self.return_tokens(account, message.tokens):
                return peer_messages.Ack()
            return peer_messages.NotOwner("")
        owned = self._owned_shards.get(pool_record.shard_of(account))
        if owned is None or account not in owned.accounts:
            return peer_messages.NotOwner("")
        if self.previous_owners.on_tokens_returned(
            account, message.closed_epoch
        ):
            owned.accounts[account].credit_unspent(message.tokens)
        # Otherwise the unspent tokens are credited already, by the time at
        # which the previous owner ended.
        return peer_messages.Ack()

    def on_hand_over(
        self, message: peer_messages.HandOverShard
    ) -> peer_messages.Ack | None:
        """Become the owner of a shard in place of a router that shuts down.

        Until this router has stored a record of its own, it hands out only
        what the sender could have handed out. The stored record therefore
        still bounds the total by the time at which the sender ends.

        Returns:
            The confirmation, or None if this router does not accept the shard.
        """
        shard = message.shard
        if self.leaving or shard in self._owned_shards:
            return None
        frozen_bounds = {
            account: bound._replace(
                usable=message.usable.get(account, bound.granted), growth_rate=0
            )
            for account, bound in message.record.accounts.items()
        }
        # The sender's ceilings are part of the frozen bounds.
        record = msgspec.structs.replace(
            message.record, accounts=frozen_bounds, witnesses=()
        )
        owned = owned_shard.OwnedShard(
            shard,
            record,
            version=message.version,
            written_s=time.monotonic(),
            next_ceilings=message.next_ceilings,
        )
        owned.update_prepaid(self._prepaid_by_shard.get(shard, {}))
        for account, granted in message.granted.items():
            if account in owned.accounts:
                owned.accounts[account].granted = granted
        self._owned_shards[shard] = owned
        self._last_epochs[shard] = record.epoch
        self._log.emit(events.HomeReceived(shard=shard, epoch=record.epoch))
        return peer_messages.Ack()

    def maintain_shards(self, now_s: float) -> None:
        """Start due record writes and the takeover of shards without an owner.

        Also stops handing out the tokens of shards that another router has
        taken over.
        """
        own = self._fleet.own.incarnation
        self.previous_owners.on_restart(
            self._fleet.own, self._fleet.start_time_of_day()
        )
        for shard, epoch in self._fleet.remote_shard_epochs(now_s).items():
            owned = self._owned_shards.get(shard)
            if owned is not None and owned.epoch < epoch:
                self._supersede(owned)
        for owned in list(self._owned_shards.values()):
            self._ceiling_sender.select_witnesses(owned)
            if owned.needs_ceilings(now_s):
                self._start_sending_ceilings(owned)
            if self._writer.is_write_due(owned, now_s):
                self._start_writing_record(owned)
        if self.leaving:
            return
        for shard in self._prepaid_by_shard:
            if (
                shard not in self._owned_shards
                and self._fleet.owner_of_shard(shard, now_s) is None
                and self.preferred_owner(shard) == own
            ):
                self._tasks.start(f"acquire {shard}", self.acquire_shard(shard))

    async def acquire_shard(self, shard: int) -> bool:
        """Become the owner of a shard; return whether this router is now."""
        if shard in self._owned_shards:
            return True
        if not self._fleet.discovery_complete or self.leaving:
            return False
        name = f"become owner {shard}"
        self._tasks.start(name, self._become_owner(shard))
        # The takeover goes on if the store is slow; the request does not wait
        # for it.
        await self._tasks.wait(name, ACQUIRE_TIMEOUT_S)
        return shard in self._owned_shards

    async def hand_over_shards(self) -> None:
        """Hand over all shards that this router owns."""
        self.leaving = True
        await asyncio.gather(
            *(
                self._hand_over_shard(shard)
                for shard in list(self._owned_shards)
            )
        )

    async def _wait_for_higher_bound(
        self, owned: owned_shard.OwnedShard, account: str, needed: int
    ) -> None:
        """Raise ceilings or bound, for which a request waits a short time.

        Requests that arrive in the meantime are covered by the next change.
        """
        now_s = time.monotonic()
        end_s = now_s + BOUND_WRITE_TIMEOUT_S
        owned.waiting_tokens[account] += needed
        try:
            while (
                now_s < end_s
                and needed > owned.available_tokens(account, now_s)
                and owned.accounts[account].covers(needed)
                and self._owned_shards.get(owned.shard) is owned
            ):
                if owned.is_limited_by_ceiling(account, needed, now_s):
                    name = self._start_sending_ceilings(owned)
                elif self._store.reachable and self._writer.may_write(
                    owned, now_s
                ):
                    name = self._start_writing_record(owned)
                else:
                    return
                await self._tasks.wait(name, end_s - now_s)
                now_s = time.monotonic()
        finally:
            owned.waiting_tokens[account] -= needed

    def _on_store_restored(self) -> None:
        """Write the records of all owned shards again."""
        for owned in self._owned_shards.values():
            owned.unconfirmed = True
            self._start_writing_record(owned)

    def _start_sending_ceilings(self, owned: owned_shard.OwnedShard) -> str:
        """Start to raise the ceilings of a shard; return the task's name."""
        name = f"ceilings {owned.shard}"
        self._tasks.start(name, self._ceiling_sender.send_ceilings(owned))
        return name

    def _start_writing_record(self, owned: owned_shard.OwnedShard) -> str:
        """Start to write the record of a shard; return the task's name."""
        name = f"record {owned.shard}"
        self._tasks.start(name, self._writer.write_due_record(owned))
        return name

    def _credit_unspent(self, account: str, tokens: int) -> bool:
        """Credit tokens that a previous owner did not hand out.

        Returns:
            Whether this router owns the account's shard.
        """
        owned = self._owned_shards.get(pool_record.shard_of(account))
        if owned is None or account not in owned.accounts:
            return False
        owned.accounts[account].credit_unspent(tokens)
        return True

    def _supersede(self, owned: owned_shard.OwnedShard) -> None:
        """Stop handing out tokens of a shard that another router took over.

        The successor counts everything up to the limits as spent, so the
        tokens that were not handed out are returned to it.
        """
        if self._owned_shards.get(owned.shard) is not owned:
            return
        del self._owned_shards[owned.shard]
        unspent = {
            account: max(0, bound.limit - owned.accounts[account].granted)
            for account, bound in owned.record.accounts.items()
            if account in owned.accounts
        }
        self.previous_owners.discard(unspent)
        self._log.emit(
            events.HomeSuperseded(
                shard=owned.shard, epoch=owned.epoch, unspent=unspent
            )
        )
        self._tasks.start(
            f"return {owned.shard} {owned.epoch}",
            self._return_unspent(owned, unspent),
        )

    async def _return_unspent(
        self, owned: owned_shard.OwnedShard, unspent: dict[str, int]
    ) -> None:
        """Return unspent tokens to the successor, once for each account."""
        for _ in range(MAX_SUCCESSOR_LOOKUP_ATTEMPTS):
            successor = self._fleet.owner_of_shard(
                owned.shard, time.monotonic()
            )
            if successor is not None:
                break
            await asyncio.sleep(SUCCESSOR_LOOKUP_INTERVAL_S)
        else:
            self._log.emit(
                events.ReturnLost(
                    shard=owned.shard, reason="new owner of the shard not found"
                )
            )
            return
        for account, tokens in unspent.items():
            message = peer_messages.ReturnTokens(account, tokens, owned.epoch)
            try:
                await self._fleet.call(
                    successor, message, timeout_s=PEER_CALL_TIMEOUT_S
                )
            except _errors.PeerUnreachableError as exc:
                self._log.emit(
                    events.ReturnLost(
                        account=account, tokens=tokens, reason=str(exc)
                    )
                )

    async def _become_owner(self, shard: int) -> None:
        prepaid = self._prepaid_by_shard.get(shard, {})
        result = await self._takeover.take_over_shard(
            shard, prepaid, last_epoch=self._last_epochs.get(shard, 0)
        )
        if result is None:
            return
        if result.unreconciled is not None:
            self.previous_owners.add(shard, result.unreconciled)
        record = result.record
        self._last_epochs[shard] = record.epoch
        owned = owned_shard.OwnedShard(
            shard, record, version=result.version, written_s=result.written_s
        )
        owned.update_prepaid(self._prepaid_by_shard.get(shard, {}))
        # Before anything is handed out, so that witnesses know of all of it.
        self._ceiling_sender.select_witnesses(owned)
        self._owned_shards[shard] = owned
        self._log.emit(
            events.HomeTaken(
                shard=shard,
                epoch=record.epoch,
                before=result.unreconciled.owner if result.unreconciled else "",
                accounts=record.accounts,
            )
        )

    async def _hand_over_shard(self, shard: int) -> None:
        """Hand a shard over to the first router that accepts it.

        If none does, its exact counts are stored for the next owner.
        """
        owned = self._owned_shards.pop(shard)
        self.previous_owners.discard(owned.accounts)
        now_s = time.monotonic()
        message = peer_messages.HandOverShard(
            shard,
            owned.record,
            owned.version,
            {name: pool.granted for name, pool in owned.accounts.items()},
            {name: owned.usable(name, now_s) for name in owned.accounts},
            owned.ceilings.next_number,
        )
        for successor in self._fleet.store_delegates(f"shard {shard}"):
            if successor.incarnation == self._fleet.own.incarnation:
                continue
            try:
                reply = await self._fleet.call(
                    successor.incarnation,
                    message,
                    timeout_s=PEER_CALL_TIMEOUT_S,
                )
            except _errors.PeerUnreachableError as exc:
                # The router may have accepted the shard, so the remaining
                # tokens must not be given to another one.
                self._log.emit(events.HomeLost(shard=shard, reason=str(exc)))
                return
            if isinstance(reply, peer_messages.Ack):
                self._fleet.set_owner_hint(shard, successor.incarnation)
                self._log.emit(
                    events.HomeHandedOver(
                        shard=shard, epoch=owned.epoch, to=successor.incarnation
                    )
                )
                return
        await self._writer.release_shard(owned)
