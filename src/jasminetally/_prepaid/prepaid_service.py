"""Reservation of prepaid tokens for the requests of this router."""

from __future__ import annotations

import asyncio
import time

from jasminetally import _errors
from jasminetally._deployment import deployment as deployment_lib
from jasminetally._observe import event_log
from jasminetally._observe import events
from jasminetally._peers import fleet_service
from jasminetally._peers import peer_messages
from jasminetally._platform import async_store
from jasminetally._prepaid import local_balance
from jasminetally._prepaid import ownership_manager
from jasminetally._prepaid import pool_record
from jasminetally._prepaid import reserve_outcome
from jasminetally._shared import background_tasks

# Time for which a request waits for an owner to hand out tokens. Routers answer
# each other within milliseconds, and the wait must stay a small part of the
# shortest latency objective.
TAKE_TIMEOUT_S = 0.25
# Time within which a late answer is still accepted. Its tokens are handed out
# already and would be lost otherwise.
LATE_ANSWER_TIMEOUT_S = 3.0
# Number of owners that are asked for a request before it is refused.
MAX_TAKE_ATTEMPTS = 3
# Time to wait for the answer to a return of tokens.
RETURN_TIMEOUT_S = 0.5
# Interval of the maintenance of balances and records.
MAINTENANCE_INTERVAL_S = 0.1
# Time in which a failed owner is detected and replaced.
OWNER_REPLACEMENT_S = 1.0
# Shortest time after which a caller is told to retry.
MIN_RETRY_AFTER_S = 0.2


class PrepaidService:
    """Reserves prepaid tokens out of what owners hand out to this router.

    The owner of a shard of accounts is the router that hands out its tokens.

    Attributes:
        ownership_manager: Shards that this router owns.
    """

    def __init__(
        self,
        fleet: fleet_service.FleetService,
        store: async_store.AsyncStore,
        log: event_log.EventLog,
    ) -> None:
        self._fleet = fleet
        self._log = log
        self._tasks = background_tasks.BackgroundTasks(log)
        self.ownership_manager = ownership_manager.OwnershipManager(
            fleet, store, log, self._tasks
        )
        self._prepaid: dict[str, int] = {}
        self._balances: dict[str, local_balance.LocalBalance] = {}

    def on_deployment(self, deployment: deployment_lib.Deployment) -> None:
        """Apply the prepaid amounts of a new configuration."""
        self._prepaid = {
            account.name: account.prepaid_tokens
            for account in deployment.accounts.values()
            if account.prepaid_tokens is not None
        }
        self.ownership_manager.update_prepaid(self._prepaid)

    async def reserve(
        self, account: str, needed: int, *, rank: int = 0
    ) -> reserve_outcome.Outcome:
        """Reserve tokens for a request.

        Args:
            account: Client account that pays.
            needed: Largest number of tokens that the request can use.
            rank: Rank of its route; 0 is the most urgent.

        Returns:
            Whether the tokens are reserved, and otherwise why not.
        """
        if account not in self._prepaid:
            return reserve_outcome.Reserved("unlimited")
        balance = self._get_balance(account)
        balance.observe_request(needed, time.monotonic())
        if balance.reserve(needed):
            return reserve_outcome.Reserved("held")
        held = balance.withdraw(needed)
        # The tokens that a request waits with return to the balance if the
        # owner does not add the missing ones, or if the caller leaves.
        unused = held
        try:
            taken = await self._take_tokens(account, needed - held, 0, rank)
            if isinstance(taken, peer_messages.TakeTokensReply) and (
                taken.tokens
            ):
                unused = held + taken.tokens - needed
                return reserve_outcome.Reserved("taken")
        finally:
            balance.add(unused)
        match taken:
            case peer_messages.TakeTokensReply(exhausted=True):
                if balance.reserve(needed):
                    return reserve_outcome.Reserved("held")
                return reserve_outcome.Exhausted(taken.remaining + held)
            case peer_messages.TakeTokensReply():
                return reserve_outcome.Unavailable(
                    "the account's remaining tokens are not available yet",
                    min(
                        max(taken.wait_s, MIN_RETRY_AFTER_S),
                        OWNER_REPLACEMENT_S,
                    ),
                )
            case _:
                return reserve_outcome.Unavailable(
                    "the router that hands out the account's tokens could "
                    "not be reached",
                    OWNER_REPLACEMENT_S,
                )

    def release(self, account: str, tokens: int) -> None:
        """Take back the reserved tokens that a request did not use."""
        if tokens > 0 and account in self._prepaid:
            self._get_balance(account).add(tokens)

    async def on_take_tokens(
        self, message: peer_messages.TakeTokens
    ) -> peer_messages.TakeTokensReply | peer_messages.NotOwner:
        """Handle a router's request for tokens.

        Becomes the owner of the account's shard first, if no router is known
        to be the owner and this one is preferred.
        """
        shard = pool_record.shard_of(message.account)
        if (
            not self.ownership_manager.is_owner(shard)
            and message.account in self._prepaid
        ):
            owner = self._fleet.owner_of_shard(shard, time.monotonic())
            if owner is not None:
                return peer_messages.NotOwner(owner)
            if (
                self.ownership_manager.preferred_owner(shard)
                == self._fleet.own.incarnation
            ):
                await self.ownership_manager.acquire_shard(shard)
        return await self.ownership_manager.take_tokens(message)

    async def run(self) -> None:
        """Maintain the balances and records until cancelled."""
        while True:
            now_s = time.monotonic()
            self.ownership_manager.maintain_shards(now_s)
            if not self.ownership_manager.leaving:
                self._adjust_balances(now_s)
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    async def shut_down(self) -> None:
        """Hand over the shards of this router and return its idle tokens."""
        await self.ownership_manager.hand_over_shards()
        # Requests that end during the returns may add accounts.
        for account, balance in list(self._balances.items()):
            tokens = balance.withdraw(balance.tokens)
            if tokens:
                await self._return_tokens(account, tokens)

    def _adjust_balances(self, now_s: float) -> None:
        """Start to return surplus tokens and to refill low balances."""
        scarce = set(self.ownership_manager.scarce_accounts())
        scarce.update(self._fleet.remote_scarce_accounts(now_s))
        for account, balance in self._balances.items():
            balance.scarce = account in scarce
            surplus = balance.returnable_tokens(now_s)
            if surplus:
                tokens = balance.withdraw(surplus)
                coro = self._return_tokens(account, tokens)
                if not self._tasks.start(f"return idle tokens {account}", coro):
                    balance.add(tokens)
            elif balance.shortfall(now_s):
                self._tasks.start(
                    f"refill balance {account}", self._refill_balance(account)
                )

    async def _refill_balance(self, account: str) -> None:
        balance = self._get_balance(account)
        wished = balance.shortfall(time.monotonic())
        taken = await self._take_tokens(account, 0, wished)
        if isinstance(taken, peer_messages.TakeTokensReply):
            balance.add(taken.tokens)

    async def _take_tokens(
        self, account: str, needed: int, wished: int, rank: int = 0
    ) -> peer_messages.TakeTokensReply | None:
        """Take tokens from the owner of an account's shard, wherever it is.

        Returns:
            The answer of the owner, or None if no owner could be reached.
        """
        message = peer_messages.TakeTokens(
            account, needed, max(needed, wished), rank
        )
        shard = pool_record.shard_of(account)
        own = self._fleet.own.incarnation
        target = self._fleet.owner_of_shard(shard, time.monotonic())
        unresponsive: set[str] = set()
        for _ in range(MAX_TAKE_ATTEMPTS):
            if self.ownership_manager.is_owner(shard):
                target = own
            target = target or self.ownership_manager.preferred_owner(shard)
            if target in unresponsive:
                # The tokens of its late answer are still accepted; asking
                # again would take them twice.
                return None
            if target == own:
                if not await self.ownership_manager.acquire_shard(shard):
                    target = self._fleet.owner_of_shard(shard, time.monotonic())
                    if target is None:
                        return None
                    continue
                reply = await self.ownership_manager.take_tokens(message)
            else:
                reply = await self._request_tokens(target, message)
            match reply:
                case peer_messages.TakeTokensReply():
                    return reply
                case peer_messages.NotOwner(home=owner):
                    target = owner or None
                case _:
                    unresponsive.add(target)
                    target = None
        return None

    async def _request_tokens(
        self, owner: str, message: peer_messages.TakeTokens
    ) -> peer_messages.Message | None:
        """Request tokens from an owner.

        The tokens of an answer that comes after the timeout are added to the
        balance when it arrives.

        Returns:
            The answer, or None if there was none in time.
        """
        timeout_s = TAKE_TIMEOUT_S * self._fleet.patience()
        call = asyncio.ensure_future(
            self._fleet.call(owner, message, timeout_s=LATE_ANSWER_TIMEOUT_S)
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(call)
        except (_errors.PeerUnreachableError, TimeoutError) as exc:
            call.add_done_callback(
                lambda fut: self._add_late_tokens(message.account, fut)
            )
            self._log.emit(
                events.HomeUnreachable(
                    account=message.account,
                    home=owner,
                    reason=str(exc) or f"no answer within {timeout_s} s",
                )
            )
            return None
        except asyncio.CancelledError:
            call.add_done_callback(
                lambda fut: self._add_late_tokens(message.account, fut)
            )
            raise

    def _add_late_tokens(self, account: str, fut: asyncio.Future) -> None:
        if fut.cancelled() or fut.exception() is not None:
            return
        if isinstance(fut.result(), peer_messages.TakeTokensReply):
            self._get_balance(account).add(fut.result().tokens)

    async def _return_tokens(self, account: str, tokens: int) -> None:
        """Return tokens to the owner of an account's shard.

        Without an answer the tokens count as returned: a second message could
        credit them twice, and then the same tokens would be handed out twice.
        """
        if self.ownership_manager.return_tokens(account, tokens):
            return
        shard = pool_record.shard_of(account)
        owner = self._fleet.owner_of_shard(shard, time.monotonic())
        if owner is None:
            self._get_balance(account).add(tokens)
            return
        message = peer_messages.ReturnTokens(account, tokens, 0)
        try:
            reply = await self._fleet.call(
                owner, message, timeout_s=RETURN_TIMEOUT_S
            )
        except _errors.PeerUnreachableError as exc:
            self._log.emit(
                events.ReturnLost(
                    account=account, tokens=tokens, reason=str(exc)
                )
            )
            return
        if isinstance(reply, peer_messages.NotOwner):
            self._get_balance(account).add(tokens)

    def _get_balance(self, account: str) -> local_balance.LocalBalance:
        return self._balances.setdefault(account, local_balance.LocalBalance())
