"""Prepaid tokens for the requests of this router."""

from __future__ import annotations

import asyncio
import time

import msgspec

from jasminetally import _errors
from jasminetally._deployment import deployment as deployment_lib
from jasminetally._observe import event_log
from jasminetally._peers import fleet_service
from jasminetally._peers import node_identity
from jasminetally._peers import peer_messages
from jasminetally._platform import store_calls
from jasminetally._prepaid import local_balance
from jasminetally._prepaid import pool_home
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import reserve_outcome

# Routers answer each other within milliseconds; a request waits no longer
# for tokens than a small part of the shortest objective.
TAKE_TIMEOUT_S = 0.25
# Time for which a late answer is still taken: the tokens in it are handed out.
LATE_ANSWER_S = 3.0
# Homes that a request asks before it is refused.
TAKE_ATTEMPTS = 3
# Interval of the upkeep of balances and limits.
UPKEEP_S = 0.2
# Time in which a dead home is noticed and replaced.
REPLACE_S = 1.0
# Checks before a silent home is taken as gone.
HOME_CHECKS = 2
# Attempts and pause to find the successor of a closed epoch.
RETURN_ATTEMPTS = 10
RETURN_PAUSE_S = 0.3
# Shortest time after which a caller may come back for tokens.
SHORTEST_WAIT_S = 0.2
# Wait after a failed write of a record.
WRITE_PAUSE_S = 0.5
# Returns smaller than this are not worth a message.
SMALLEST_RETURN_TOKENS = 500


class PrepaidService:
    """Reserve prepaid tokens, and hand out those whose home this router is.

    Each account has one home, the router that hands out its tokens to all
    others up to a limit in the platform's store. The store decides who that
    is; the fleet view only says who tries.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: store_calls.StoreCalls,
        log: event_log.EventLog,
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._log = log
        self._prepaid: dict[str, int] = {}
        self._homes: dict[str, pool_home.PoolHome] = {}
        self._balances: dict[str, local_balance.LocalBalance] = {}
        self._acquiring: dict[str, asyncio.Task[bool]] = {}
        self._busy: set[tuple[str, str]] = set()
        self._locks: dict[str, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task] = set()
        self._write_after_s: dict[str, float] = {}
        self._leaving = False
        # Highest epoch in which this router handed out tokens, by account.
        self._acted: dict[str, int] = {}
        # Records of homes before this one that have not accounted for what
        # they did not hand out, by account.
        self._unaccounted: dict[str, pool_record.PoolRecord] = {}

    def on_deployment(self, deployment: deployment_lib.Deployment) -> None:
        """Note what has been paid for."""
        self._prepaid = {
            account.name: account.prepaid_tokens
            for account in deployment.accounts.values()
            if account.prepaid_tokens is not None
        }
        for account, home in self._homes.items():
            home.prepaid = self._prepaid.get(account, home.prepaid)

    def homes(self) -> dict[str, int]:
        """Return the accounts whose home this router is, with epochs."""
        return {name: home.epoch for name, home in self._homes.items()}

    def scarce(self) -> list[str]:
        """Return the accounts of this home that are nearly used up."""
        now_s = time.monotonic()
        return [
            name for name, home in self._homes.items() if home.scarce(now_s)
        ]

    async def reserve(
        self, account: str, needed: int
    ) -> reserve_outcome.Outcome:
        """Reserve tokens for a request.

        Args:
            account: Client account that pays.
            needed: Largest number of tokens that the request can use.
        """
        if account not in self._prepaid:
            return reserve_outcome.Reserved("unlimited")
        now_s = time.monotonic()
        balance = self._balance(account)
        balance.observe(needed, now_s)
        if balance.reserve(needed):
            return reserve_outcome.Reserved("held")
        taken = await self._take(account, needed, 0)
        match taken:
            case peer_messages.TokensTaken(tokens=tokens) if tokens:
                balance.add(tokens - needed)
                return reserve_outcome.Reserved("taken")
            case peer_messages.TokensTaken(exhausted=True):
                if balance.reserve(needed):
                    return reserve_outcome.Reserved("held")
                return reserve_outcome.Exhausted(taken.remaining)
            case peer_messages.TokensTaken():
                return reserve_outcome.Unavailable(
                    "the stored limit is used up",
                    min(max(taken.wait_s, SHORTEST_WAIT_S), REPLACE_S),
                )
            case _:
                return reserve_outcome.Unavailable(
                    "the home of the account is not reached", REPLACE_S
                )

    def release(self, account: str, tokens: int) -> None:
        """Take back tokens that a request did not use."""
        if tokens > 0 and account in self._prepaid:
            self._balance(account).add(tokens)

    def on_take(
        self, message: peer_messages.TakeTokens
    ) -> peer_messages.TokensTaken | peer_messages.NotHome:
        """Answer a router that asks for tokens."""
        home = self._homes.get(message.account)
        if home is None:
            return peer_messages.NotHome("")
        return home.take(
            message.needed,
            message.wished,
            routers=self._routers(),
            now_s=time.monotonic(),
        )

    async def answer_take(
        self, message: peer_messages.TakeTokens
    ) -> peer_messages.TokensTaken | peer_messages.NotHome:
        """Answer a router, after becoming the home if that is due."""
        account = message.account
        if account not in self._homes and account in self._prepaid:
            known = self._known_home(account)
            if known is not None:
                return peer_messages.NotHome(known)
            if self._ranked_first(account):
                await self._acquire(account)
        return await self._take_here(message)

    async def _take_here(
        self, message: peer_messages.TakeTokens
    ) -> peer_messages.TokensTaken | peer_messages.NotHome:
        """Hand out tokens, after storing a higher limit if that is needed."""
        home = self._homes.get(message.account)
        if (
            home is not None
            and message.needed > home.available(time.monotonic())
            and home.covers(message.needed)
            and self._store.reachable
        ):
            await self._store_plan(home, needed=message.needed)
        return self.on_take(message)

    def on_return(
        self, message: peer_messages.ReturnTokens
    ) -> peer_messages.Done | peer_messages.NotHome:
        """Take tokens back from another router."""
        home = self._homes.get(message.account)
        if home is None:
            return peer_messages.NotHome("")
        if message.closed_epoch:
            record = self._unaccounted.get(message.account)
            if record is None or record.epoch != message.closed_epoch:
                # Accounted for already, by the time of its end.
                return peer_messages.Done()
            del self._unaccounted[message.account]
            home.account_for(message.tokens)
            return peer_messages.Done()
        home.put_back(message.tokens, time.monotonic())
        return peer_messages.Done()

    def account_for(
        self, identity: node_identity.NodeIdentity, started_s: float | None
    ) -> None:
        """Account for homes that ended before a later run of their router.

        Args:
            identity: The later run.
            started_s: Time of day of its start, or None if not known.
        """
        if started_s is None:
            return
        for account, record in list(self._unaccounted.items()):
            home = self._homes.get(account)
            node, _, _ = record.home.partition("#")
            if (
                home is None
                or node != identity.node
                or record.home == identity.incarnation
            ):
                continue
            del self._unaccounted[account]
            spent = record.spent_until(started_s)
            home.account_for(record.limit - spent)
            self._log.emit(
                "home_accounted",
                account=account,
                before=record.home,
                epoch=record.epoch,
                limit=record.limit,
                spent=spent,
                ended_s=started_s,
                written_s=record.written_s,
            )

    def on_hand_over(
        self, message: peer_messages.HandOver
    ) -> peer_messages.Done | None:
        """Become the home of an account in the place of another router.

        Until this router has stored a record of its own, it hands out only
        what the sender could have: the stored record still bounds the total
        by the time at which the sender ends.
        """
        account = message.account
        if (
            self._leaving
            or account not in self._prepaid
            or account in self._homes
        ):
            return None
        record = msgspec.structs.replace(
            message.record, usable=message.usable, rate=0
        )
        self._homes[account] = pool_home.PoolHome(
            account,
            record,
            version=message.version,
            written_s=time.monotonic(),
            granted=message.granted,
            prepaid=self._prepaid[account],
        )
        self._acted[account] = record.epoch
        self._log.emit(
            "home_received",
            account=account,
            epoch=record.epoch,
            granted=message.granted,
            limit=record.limit,
        )
        return peer_messages.Done()

    async def run(self) -> None:
        """Keep balances and limits at their targets until cancelled."""
        while True:
            self._upkeep(time.monotonic())
            await asyncio.sleep(UPKEEP_S)

    async def leave(self) -> None:
        """Give back what is held and hand over the accounts at home here."""
        self._leaving = True
        await asyncio.gather(
            *(self._hand_over(account) for account in list(self._homes))
        )
        await self.give_back()

    async def give_back(self) -> None:
        """Give all idle tokens back."""
        for account, balance in self._balances.items():
            tokens = balance.withdraw(balance.tokens)
            if tokens:
                await self._return(account, tokens)

    def _upkeep(self, now_s: float) -> None:
        if self._leaving:
            return
        own = self._fleet.own.incarnation
        self.account_for(self._fleet.own, self._fleet.started_at())
        scarce = set(self.scarce())
        for account, epoch in self._fleet.homes_elsewhere(now_s).items():
            held = self._homes.get(account)
            if held is not None and held.epoch < epoch:
                self._supersede(held)
        scarce.update(self._fleet.scarce_elsewhere(now_s))
        for account, balance in self._balances.items():
            balance.scarce = account in scarce
            if balance.surplus(now_s) >= SMALLEST_RETURN_TOKENS:
                tokens = balance.withdraw(balance.surplus(now_s))
                self._start("return", account, self._return(account, tokens))
            elif balance.shortfall(now_s):
                self._start("top-up", account, self._top_up(account))
        for account, home in list(self._homes.items()):
            if now_s < self._write_after_s.get(account, 0.0):
                continue
            if home.plan(now_s) is not None or home.record.home != own:
                self._start("record", account, self._store_plan(home))
        for account in self._prepaid:
            if (
                account not in self._homes
                and self._known_home(account) is None
                and self._ranked_first(account)
            ):
                self._start("acquire", account, self._acquire(account))

    async def _top_up(self, account: str) -> None:
        balance = self._balance(account)
        wished = balance.shortfall(time.monotonic())
        taken = await self._take(account, 0, wished)
        if isinstance(taken, peer_messages.TokensTaken):
            balance.add(taken.tokens)

    async def _take(
        self, account: str, needed: int, wished: int
    ) -> peer_messages.TokensTaken | None:
        message = peer_messages.TakeTokens(account, needed, max(needed, wished))
        target = self._known_home(account)
        for _ in range(TAKE_ATTEMPTS):
            if account in self._homes:
                reply = self.on_take(message)
                return (
                    None if isinstance(reply, peer_messages.NotHome) else reply
                )
            target = target or self._first_incarnation(account)
            if target == self._fleet.own.incarnation:
                if not await self._acquire(account):
                    target = self._known_home(account)
                    if target is None:
                        return None
                continue
            try:
                reply = await self._ask(target, message)
            except (_errors.PeerUnreachableError, TimeoutError) as exc:
                self._log.emit(
                    "home_unreachable",
                    account=account,
                    home=target,
                    reason=str(exc) or "no answer in time",
                )
                target = None
                continue
            match reply:
                case peer_messages.TokensTaken():
                    return reply
                case peer_messages.NotHome(home=home):
                    target = home or None
                case _:
                    return None
        return None

    async def _ask(
        self, home: str, message: peer_messages.TakeTokens
    ) -> peer_messages.Message:
        """Ask a home for tokens; what arrives too late is kept for later.

        Raises:
            PeerUnreachableError: The home can't be reached.
            TimeoutError: There was no answer in time.
        """
        call = asyncio.ensure_future(
            self._fleet.call(home, message, timeout_s=LATE_ANSWER_S)
        )
        try:
            async with asyncio.timeout(TAKE_TIMEOUT_S):
                return await asyncio.shield(call)
        except (TimeoutError, asyncio.CancelledError):
            call.add_done_callback(
                lambda done: self._keep_late(message.account, done)
            )
            raise

    def _keep_late(self, account: str, done: asyncio.Future) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        if isinstance(done.result(), peer_messages.TokensTaken):
            self._balance(account).add(done.result().tokens)

    async def _return(
        self, account: str, tokens: int, *, closed_epoch: int = 0
    ) -> None:
        """Give tokens to the home; without an answer they count as given.

        A return that is sent again could be applied twice, which would hand
        out the same tokens twice.
        """
        home = self._homes.get(account)
        if home is not None and not closed_epoch:
            home.put_back(tokens, time.monotonic())
            return
        target = self._known_home(account)
        for _ in range(RETURN_ATTEMPTS if closed_epoch else 0):
            if target is not None:
                break
            await asyncio.sleep(RETURN_PAUSE_S)
            target = self._known_home(account)
        if target is None:
            self._keep(account, tokens, closed_epoch)
            return
        try:
            reply = await self._fleet.call(
                target,
                peer_messages.ReturnTokens(account, tokens, closed_epoch),
                timeout_s=2 * TAKE_TIMEOUT_S,
            )
        except _errors.PeerUnreachableError as exc:
            self._log.emit(
                "return_lost", account=account, tokens=tokens, reason=str(exc)
            )
            return
        if isinstance(reply, peer_messages.NotHome):
            self._keep(account, tokens, closed_epoch)

    def _keep(self, account: str, tokens: int, closed_epoch: int) -> None:
        """Keep tokens that no home took; those of a closed epoch are left."""
        if not closed_epoch:
            self._balance(account).add(tokens)

    async def _store_plan(
        self, home: pool_home.PoolHome, *, needed: int = 0
    ) -> None:
        """Store the record that the home plans, one write at a time."""
        async with self._locks.setdefault(home.account, asyncio.Lock()):
            now_s = time.monotonic()
            planned = home.plan(now_s, needed=needed)
            own = self._fleet.own.incarnation
            if planned is None:
                if home.record.home == own:
                    return
                planned = home.record
            record = msgspec.structs.replace(
                planned, home=own, written_s=self._fleet.clock.at(now_s)
            )
            if self._homes.get(home.account) is home:
                await self._store_record(home, record, now_s)

    async def _store_record(
        self,
        home: pool_home.PoolHome,
        record: pool_record.PoolRecord,
        now_s: float,
    ) -> None:
        home.on_writing(record, now_s)
        try:
            version = await self._store.write(
                pool_record.key(home.account),
                pool_record.encode(record),
                expected_version=home.version,
            )
        except _errors.VersionConflictError:
            await self._check_record(home)
            return
        except _errors.PlatformError as exc:
            if not isinstance(exc, _errors.OutcomeUnknownError):
                home.on_not_stored(record)
            self._write_after_s[home.account] = time.monotonic() + WRITE_PAUSE_S
            self._log.emit(
                "record_not_stored", account=home.account, reason=str(exc)
            )
            return
        home.on_stored(record, version, now_s)
        self._log.emit(
            "record_stored",
            account=home.account,
            epoch=home.epoch,
            granted=home.granted,
            usable=record.usable,
            rate=record.rate,
            limit=record.limit,
            version=version,
        )

    async def _check_record(self, home: pool_home.PoolHome) -> None:
        """Find out why a write of the record met another version."""
        try:
            found = await self._store.get(pool_record.key(home.account))
            record = pool_record.decode(found.value)
        except _errors.PlatformError as exc:
            self._log.emit(
                "record_not_read", account=home.account, reason=str(exc)
            )
            return
        if record.epoch > home.epoch:
            self._supersede(home)
            return
        # An earlier write of this epoch whose answer was lost. Counting its
        # time from now on allows less than it does.
        home.on_stored(record, found.version, time.monotonic())

    def _supersede(self, home: pool_home.PoolHome) -> None:
        """Stop to hand out tokens after another router took over.

        The successor counts everything up to the limit as spent, so what was
        not handed out goes back to it.
        """
        if self._homes.get(home.account) is not home:
            return
        del self._homes[home.account]
        self._unaccounted.pop(home.account, None)
        unspent = max(0, home.record.limit - home.granted)
        self._log.emit(
            "home_superseded",
            account=home.account,
            epoch=home.epoch,
            unspent=unspent,
        )
        self._start(
            "return",
            home.account,
            self._return(home.account, unspent, closed_epoch=home.epoch),
        )

    async def _acquire(self, account: str) -> bool:
        """Become the home of an account; return whether this router is."""
        if account in self._homes:
            return True
        if not self._fleet.settled or self._leaving:
            return False
        task = self._acquiring.get(account)
        if task is None:
            task = asyncio.ensure_future(self._take_over(account))
            self._acquiring[account] = task
            task.add_done_callback(lambda _: self._acquiring.pop(account, None))
        return await asyncio.shield(task)

    async def _take_over(self, account: str) -> bool:
        key = pool_record.key(account)
        try:
            found = await self._store.get(key)
            version = found.version
            record = pool_record.decode(found.value)
        except _errors.NotFoundError:
            version = 0
            record = pool_record.PoolRecord(0, "", 0, 0, 0, 0, 0.0, None)
        except _errors.PlatformError as exc:
            self._log.emit("record_not_read", account=account, reason=str(exc))
            return False
        own = self._fleet.own.incarnation
        if record.home == own and record.epoch > self._acted.get(account, 0):
            # Stored by this router, but the answer was lost.
            self._begin(
                account, record, version, "lost answer", time.monotonic()
            )
            return True
        if await self._still_home(record):
            self._fleet.note_home(account, record.home)
            return False
        granted = record.limit if record.home else record.base
        fresh = pool_home.PoolHome(
            account,
            pool_record.PoolRecord(
                record.epoch + 1, own, granted, granted, granted, 0, 0.0, None
            ),
            version=version,
            written_s=0.0,
            granted=granted,
            prepaid=self._prepaid[account],
        )
        now_s = time.monotonic()
        planned = msgspec.structs.replace(
            fresh.plan(now_s) or fresh.record,
            written_s=self._fleet.clock.at(now_s),
        )
        try:
            version = await self._store.write(
                key, pool_record.encode(planned), expected_version=version
            )
        except _errors.PlatformError as exc:
            self._log.emit("home_not_taken", account=account, reason=str(exc))
            return False
        if record.home:
            self._unaccounted[account] = record
        self._begin(account, planned, version, record.home, now_s)
        return True

    async def _still_home(self, record: pool_record.PoolRecord) -> bool:
        """Return whether the home of a record is alive, as far as known."""
        if not record.home or self._fleet.knows_other_run(record.home):
            return False
        for _ in range(HOME_CHECKS):
            if await self._fleet.check(record.home):
                return True
            if self._fleet.knows_other_run(record.home):
                return False
        return False

    def _begin(
        self,
        account: str,
        record: pool_record.PoolRecord,
        version: int,
        before: str,
        written_s: float,
    ) -> None:
        """Begin to hand out tokens under a stored record of this router."""
        self._acted[account] = record.epoch
        self._homes[account] = pool_home.PoolHome(
            account,
            record,
            version=version,
            written_s=written_s,
            granted=record.base,
            prepaid=self._prepaid.get(account, record.limit),
        )
        self._log.emit(
            "home_taken",
            account=account,
            epoch=record.epoch,
            before=before,
            granted=record.base,
            limit=record.limit,
        )

    async def _hand_over(self, account: str) -> None:
        home = self._homes.pop(account)
        self._unaccounted.pop(account, None)
        message = peer_messages.HandOver(
            account,
            home.record,
            home.version,
            home.granted,
            home.usable(time.monotonic()),
        )
        for successor in self._fleet.home_candidates(account):
            if successor.incarnation == self._fleet.own.incarnation:
                continue
            try:
                reply = await self._fleet.call(
                    successor.incarnation, message, timeout_s=TAKE_TIMEOUT_S
                )
            except _errors.PeerUnreachableError as exc:
                # It may have been applied, so nobody else may get the rest.
                self._log.emit("home_lost", account=account, reason=str(exc))
                return
            if isinstance(reply, peer_messages.Done):
                self._fleet.note_home(account, successor.incarnation)
                self._log.emit(
                    "home_handed_over",
                    account=account,
                    epoch=home.epoch,
                    to=successor.incarnation,
                )
                return
        await self._give_up(home)

    async def _give_up(self, home: pool_home.PoolHome) -> None:
        record = pool_record.PoolRecord(
            home.epoch,
            "",
            home.granted,
            home.granted,
            home.granted,
            0,
            0.0,
            None,
        )
        try:
            await self._store.write(
                pool_record.key(home.account),
                pool_record.encode(record),
                expected_version=home.version,
            )
        except _errors.PlatformError as exc:
            self._log.emit("home_lost", account=home.account, reason=str(exc))

    def _start(self, kind: str, account: str, work: object) -> None:
        """Run a coroutine unless one of its kind runs for the account."""
        assert asyncio.iscoroutine(work)
        if (kind, account) in self._busy and kind != "return":
            work.close()
            return
        self._busy.add((kind, account))
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

        def end(done: asyncio.Task) -> None:
            self._tasks.discard(done)
            self._busy.discard((kind, account))
            if not done.cancelled() and done.exception() is not None:
                self._log.emit(
                    "internal_error",
                    where=f"prepaid {kind}",
                    error=repr(done.exception()),
                )

        task.add_done_callback(end)

    def _balance(self, account: str) -> local_balance.LocalBalance:
        return self._balances.setdefault(account, local_balance.LocalBalance())

    def _known_home(self, account: str) -> str | None:
        return self._fleet.home_of(account, time.monotonic())

    def _first_incarnation(self, account: str) -> str:
        return self._fleet.home_candidates(account)[0].incarnation

    def _ranked_first(self, account: str) -> bool:
        return self._first_incarnation(account) == self._fleet.own.incarnation

    def _routers(self) -> int:
        return len(self._fleet.ranked(""))
