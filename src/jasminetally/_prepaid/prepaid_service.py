"""Prepaid tokens for the requests of this router."""

from __future__ import annotations

import asyncio
import time

from jasminetally import _errors
from jasminetally._deployment import deployment as deployment_lib
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._peers import peer_messages
from jasminetally._platform import store_calls
from jasminetally._prepaid import home_manager
from jasminetally._prepaid import local_balance
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import reserve_outcome
from jasminetally._shared import background_tasks

# Routers answer each other within milliseconds; a request waits no longer
# for tokens than a small part of the shortest objective.
TAKE_TIMEOUT_S = 0.25
# Time for which a late answer is still taken: the tokens in it are handed out.
LATE_ANSWER_S = 3.0
# Homes that a request asks before it is refused.
TAKE_ATTEMPTS = 3
# Time for the answer to a return.
RETURN_TIMEOUT_S = 0.5
# Interval of the upkeep of balances and records.
UPKEEP_S = 0.1
# Time in which a dead home is noticed and replaced.
REPLACE_S = 1.0
# Shortest time after which a caller may come back for tokens.
SHORTEST_WAIT_S = 0.2
# Returns smaller than this are not worth a message.
SMALLEST_RETURN_TOKENS = 500


class PrepaidService:
    """Reserve prepaid tokens from what the homes hand out to this router."""

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: store_calls.StoreCalls,
        log: event_log.EventLog,
    ) -> None:
        self._fleet = fleet
        self._log = log
        self._tasks = background_tasks.BackgroundTasks(log)
        self.home_manager = home_manager.HomeManager(
            fleet, store, log, self._tasks
        )
        self._prepaid: dict[str, int] = {}
        self._balances: dict[str, local_balance.LocalBalance] = {}

    def on_deployment(self, deployment: deployment_lib.Deployment) -> None:
        """Note what has been paid for."""
        self._prepaid = {
            account.name: account.prepaid_tokens
            for account in deployment.accounts.values()
            if account.prepaid_tokens is not None
        }
        self.home_manager.update_prepaid(self._prepaid)

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
        balance = self._balance(account)
        balance.observe_request(needed, time.monotonic())
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
                    "those that are left are not usable yet",
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

    async def on_take_tokens(
        self, message: peer_messages.TakeTokens
    ) -> peer_messages.TokensTaken | peer_messages.NotHome:
        """Answer a router, after becoming the home if that is due."""
        shard = pool_record.shard_of(message.account)
        if (
            not self.home_manager.is_home(shard)
            and message.account in self._prepaid
        ):
            known = self._fleet.home_of(shard, time.monotonic())
            if known is not None:
                return peer_messages.NotHome(known)
            if (
                self.home_manager.preferred_home(shard)
                == self._fleet.own.incarnation
            ):
                await self.home_manager.acquire_shard(shard)
        return await self.home_manager.take_tokens(message)

    async def run(self) -> None:
        """Keep balances and records at their targets until cancelled."""
        while True:
            now_s = time.monotonic()
            self.home_manager.maintain_homes(now_s)
            if not self.home_manager.leaving:
                self._balance_up(now_s)
            await asyncio.sleep(UPKEEP_S)

    async def shut_down(self) -> None:
        """Hand over the homes here and give back what is held idle."""
        await self.home_manager.hand_over_homes()
        # Requests that end meanwhile may add accounts.
        for account, balance in list(self._balances.items()):
            tokens = balance.withdraw(balance.tokens)
            if tokens:
                await self._return(account, tokens)

    def _balance_up(self, now_s: float) -> None:
        scarce = set(self.home_manager.scarce_accounts())
        scarce.update(self._fleet.scarce_elsewhere(now_s))
        for account, balance in self._balances.items():
            balance.scarce = account in scarce
            surplus = balance.surplus(now_s)
            if surplus >= SMALLEST_RETURN_TOKENS:
                tokens = balance.withdraw(surplus)
                work = self._return(account, tokens)
                if not self._tasks.start(f"give back {account}", work):
                    balance.add(tokens)
            elif balance.shortfall(now_s):
                self._tasks.start(f"top up {account}", self._top_up(account))

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
        shard = pool_record.shard_of(account)
        own = self._fleet.own.incarnation
        target = self._fleet.home_of(shard, time.monotonic())
        silent: set[str] = set()
        for _ in range(TAKE_ATTEMPTS):
            if self.home_manager.is_home(shard):
                target = own
            target = target or self.home_manager.preferred_home(shard)
            if target in silent:
                # Its late answer is kept; asking again would take twice.
                return None
            if target == own:
                if not await self.home_manager.acquire_shard(shard):
                    target = self._fleet.home_of(shard, time.monotonic())
                    if target is None:
                        return None
                    continue
                reply = await self.home_manager.take_tokens(message)
            else:
                reply = await self._ask(target, message)
            match reply:
                case peer_messages.TokensTaken():
                    return reply
                case peer_messages.NotHome(home=home):
                    target = home or None
                case _:
                    silent.add(target)
                    target = None
        return None

    async def _ask(
        self, home: str, message: peer_messages.TakeTokens
    ) -> peer_messages.Message | None:
        """Ask a home for tokens; what arrives too late is kept for later."""
        call = asyncio.ensure_future(
            self._fleet.call(home, message, timeout_s=LATE_ANSWER_S)
        )
        try:
            async with asyncio.timeout(TAKE_TIMEOUT_S):
                return await asyncio.shield(call)
        except (_errors.PeerUnreachableError, TimeoutError) as exc:
            call.add_done_callback(
                lambda done: self._keep_late(message.account, done)
            )
            self._log.emit(
                events.HomeUnreachable(
                    account=message.account,
                    home=home,
                    reason=str(exc) or "no answer in time",
                )
            )
            return None
        except asyncio.CancelledError:
            call.add_done_callback(
                lambda done: self._keep_late(message.account, done)
            )
            raise

    def _keep_late(self, account: str, done: asyncio.Future) -> None:
        if done.cancelled() or done.exception() is not None:
            return
        if isinstance(done.result(), peer_messages.TokensTaken):
            self._balance(account).add(done.result().tokens)

    async def _return(self, account: str, tokens: int) -> None:
        """Give tokens to the home; without an answer they count as given.

        A return that is sent again could be applied twice, which would hand
        out the same tokens twice.
        """
        if self.home_manager.return_tokens(account, tokens):
            return
        shard = pool_record.shard_of(account)
        target = self._fleet.home_of(shard, time.monotonic())
        if target is None:
            self._balance(account).add(tokens)
            return
        message = peer_messages.ReturnTokens(account, tokens, 0)
        try:
            reply = await self._fleet.call(
                target, message, timeout_s=RETURN_TIMEOUT_S
            )
        except _errors.PeerUnreachableError as exc:
            self._log.emit(
                events.ReturnLost(
                    account=account, tokens=tokens, reason=str(exc)
                )
            )
            return
        if isinstance(reply, peer_messages.NotHome):
            self._balance(account).add(tokens)

    def _balance(self, account: str) -> local_balance.LocalBalance:
        return self._balances.setdefault(account, local_balance.LocalBalance())
