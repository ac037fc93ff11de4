"""The product's policy: escrow grants, transfers, journals and recovery."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jasminetally._bench import account_driver
from jasminetally._bench import journal_driver
from jasminetally._bench import peer_directory
from jasminetally._bench import recovery_driver
from jasminetally._bench import request_runner
from jasminetally._bench import transfer_driver
from jasminetally._budget import budget_terms
from jasminetally._budget import grant_policy
from jasminetally._budget import manager
from jasminetally._budget import transfer_effects
from jasminetally._recovery import journal_codec
from jasminetally._recovery import transfer_entry
from jasminetally._shared import token_bucket

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import bench_request
    from jasminetally._bench import budget_simulation
    from jasminetally._bench import host
    from jasminetally._bench import top_up
    from jasminetally._bench import verdict
    from jasminetally._budget import effect


def make_policy_without_recovery(
    sim: budget_simulation.BudgetSimulation, process: host.Host
) -> JasminetallyPolicy:
    """Return a policy that uses neither journals nor recovery."""
    return JasminetallyPolicy(sim, process, recovery=False)


class JasminetallyPolicy:
    """Connects ``BudgetManager`` and ``_recovery`` as the daemon does.

    Args:
        sim: Simulation that the router runs in.
        process: Process of the router.
        recovery: Whether journals and recovery are used.

    Attributes:
        recovery_enabled: Whether journals and recovery are used.
        peers: Directory of the other routers.
        journal: Journal of this router and replicas of its peers' journals.
        transfers: Transfers of tokens from and to other routers.
        runner: Requests of this router.
        recovery: Recovery of dead routers.
    """

    def __init__(
        self,
        sim: budget_simulation.BudgetSimulation,
        process: host.Host,
        *,
        recovery: bool = True,
    ) -> None:
        self._sim = sim
        self._process = process
        self._accounts: dict[str, account_driver.AccountDriver] = {}
        self._rng = random.Random(sim.rng.random())
        self._policy = grant_policy.GrantPolicy()
        self._write_limiter = token_bucket.TokenBucket(
            rate_per_s=self._policy.fleet_writes_per_s / len(sim.fleet.routers)
        )
        self.recovery_enabled = recovery
        self.peers = peer_directory.PeerDirectory(
            sim,
            process,
            on_reachable=self._on_reachable,
            on_death=self._on_death,
            on_status=self._on_status,
        )
        self.journal = journal_driver.JournalDriver(sim, process, self.peers)
        self.transfers = transfer_driver.TransferDriver(self)
        self.runner = request_runner.RequestRunner(self, sim, process)
        self.recovery = recovery_driver.RecoveryDriver(
            sim,
            process,
            self.peers,
            self.journal,
            on_router_gone=self._on_router_gone,
            accounts=lambda: self._accounts,
            transfers=self._encode_transfers_with,
        )

    def driver_for(self, account: str) -> account_driver.AccountDriver:
        """Return the driver of an account, created on first use."""
        driver = self._accounts.get(account)
        if driver is not None:
            return driver
        driver = account_driver.AccountDriver(
            self._process,
            self._sim.platform,
            self._sim.observer,
            manager.BudgetManager(
                account=account,
                incarnation=self._process.incarnation,
                policy=self._policy,
                rng=self._rng,
                write_limiter=self._write_limiter,
            ),
            account=account,
            on_effect=self._on_effect,
            on_record=self.transfers.drop_converted,
        )
        self._accounts[account] = driver
        driver.run_effects(
            driver.manager.on_peers(self.peers.reachable(), self._process.now_s)
        )
        return driver

    def send_message(
        self, peer: str, method: str, message: object, size: int
    ) -> None:
        """Send a message to a peer's budget manager.

        Args:
            peer: Incarnation of the peer.
            method: Method of the budget manager that takes the message.
            message: Message.
            size: Encoded size in bytes.
        """
        process = self.peers.host_of(peer)
        if process is None:
            return
        policy = self._sim.routers[process.instance].policy
        self._sim.net.send(
            self._process,
            process,
            policy.receive_message,
            self._process.incarnation,
            method,
            message,
            size_bytes=size,
        )

    def receive_message(
        self, sender: str, method: str, message: object
    ) -> None:
        """Pass a peer's message to the budget manager of its account.

        Messages of routers that are confirmed dead are dropped.
        """
        if sender in self.peers.deaths:
            return
        driver = self.driver_for(message.account)
        handle = getattr(driver.manager, method)
        driver.run_effects(handle(message, self._process.now_s))

    def on_config(self, top_ups: dict[str, top_up.TopUp]) -> None:
        """Pass the top-ups of a newer configuration to the managers."""
        terms: dict[str, dict[str, dict[str, int]]] = {}
        for each in top_ups.values():
            budgets = terms.setdefault(each.account, {})
            budgets.setdefault(each.budget, {})[each.top_up] = each.tokens
        for account, budgets in terms.items():
            driver = self.driver_for(account)
            driver.run_effects(
                driver.manager.on_config(
                    {
                        budget: budget_terms.BudgetTerms(tokens_by_top_up)
                        for budget, tokens_by_top_up in budgets.items()
                    },
                    len(self._sim.fleet.routers),
                    self._process.now_s,
                )
            )

    def reserve(
        self,
        req: bench_request.BenchRequest,
        decide: Callable[[verdict.Verdict], None],
    ) -> None:
        """Reserve, claim if unrepeatable and append to the journal."""
        self.runner.reserve(req, decide)

    def finish(
        self,
        req: bench_request.BenchRequest,
        tokens: int,
        release: Callable[[], None],
    ) -> None:
        """Settle; release the answer after storing and journalling it.

        Only the answers of unrepeatable requests are stored, and without
        recovery nothing is journalled. The answer is released even if one of
        the two fails.
        """
        self.runner.finish(req, tokens, release)

    def _on_reachable(self) -> None:
        self.journal.on_reachable()
        for driver in self._accounts.values():
            driver.run_effects(
                driver.manager.on_peers(
                    self.peers.reachable(), self._process.now_s
                )
            )

    def _on_death(self, incarnation: str) -> None:
        if self.recovery_enabled:
            self.recovery.on_death(incarnation)
        else:
            self._on_router_gone(incarnation)

    def _on_status(self) -> None:
        if self.recovery_enabled:
            self.recovery.on_status()

    def _encode_transfers_with(self, dead: str) -> list[bytes]:
        """Return the encoded transfers from and to a dead router."""
        replies = [
            reply
            for driver in self._accounts.values()
            for reply in (
                *driver.manager.transfers_from(dead),
                *driver.manager.transfers_to(dead),
            )
        ]
        return [
            *self.journal.store.transfers_to(dead),
            *(
                journal_codec.encode(transfer_entry.from_note(reply))
                for reply in replies
            ),
        ]

    def _on_router_gone(self, incarnation: str) -> None:
        for driver in self._accounts.values():
            driver.run_effects(
                driver.manager.on_peer_gone(incarnation, self._process.now_s)
            )

    def _on_effect(
        self, driver: account_driver.AccountDriver, each: effect.Effect
    ) -> None:
        match each:
            case (
                transfer_effects.AskTransfer()
                | transfer_effects.AppendJournal()
                | transfer_effects.SendTransfer()
            ):
                self.transfers.run_effect(each)
            case _:
                self.runner.run_effect(driver, each)
