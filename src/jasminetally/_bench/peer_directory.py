"""Directory of the other routers in the budget bench."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from jasminetally import _errors
from jasminetally._membership import view_policy

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._bench import budget_simulation
    from jasminetally._bench import host
    from jasminetally._platform import entry

PROBE_PERIOD_S = 0.5
# A peer is reachable if it answered a probe within this time.
REACHABLE_WINDOW_S = 1.2
# Time for which an instance must be unlisted and not answer probes before its
# death is confirmed.
DEATH_CONFIRMATION_S = view_policy.ViewPolicy().dead_after_s


class PeerDirectory:
    """Probes peers, reads their status objects and confirms deaths.

    This is a simple form of ``_membership``. Since the deployments are small,
    every peer is probed; ``router/`` objects hold only the incarnation and
    the acknowledged deaths.

    Attributes:
        deaths: Incarnations whose death this router acknowledged.
    """

    def __init__(
        self,
        sim: budget_simulation.BudgetSimulation,
        process: host.Host,
        *,
        on_reachable: Callable[[], None],
        on_death: Callable[[str], None],
        on_status: Callable[[], None],
    ) -> None:
        self.deaths: list[str] = []
        self._sim = sim
        self._process = process
        self._on_reachable = on_reachable
        self._on_death = on_death
        self._on_status = on_status
        self._last_reply_s: dict[str, float] = {}
        self._statuses: dict[str, tuple[str, tuple[str, ...]]] = {}
        self._unlisted_since: dict[str, tuple[float, str]] = {}
        self._version = 0
        self._writing = False
        self._known_reachable: frozenset[str] = frozenset()
        sim.platform.watch(process, "router/", self._on_status_entry)
        sim.platform.watch(process, "instances/", self._on_instance_entry)
        process.call_every(PROBE_PERIOD_S, self._probe_peers)
        self._probe_peers()
        self.publish_status()

    def reachable(self) -> dict[str, str]:
        """Return the reachable peers, incarnation -> data centre."""
        since_s = self._process.now_s - REACHABLE_WINDOW_S
        return {
            each: self._sim.fleet.routers[each.partition("#")[0]]
            for each, at_s in sorted(self._last_reply_s.items())
            if at_s >= since_s and each not in self.deaths
        }

    def acknowledged_deaths(self) -> dict[str, frozenset[str]]:
        """Return the deaths that the other routers acknowledged.

        Returns:
            Incarnation of the router -> dead incarnations.
        """
        return {
            incarnation: frozenset(deaths)
            for incarnation, deaths in self._statuses.values()
            if incarnation != self._process.incarnation
        }

    def host_of(self, incarnation: str) -> host.Host | None:
        """Return the process of an incarnation, None if it was replaced."""
        router = self._sim.routers.get(incarnation.partition("#")[0])
        if router is None or router.process.incarnation != incarnation:
            return None
        return router.process

    def add_death(self, incarnation: str) -> None:
        """Acknowledge a death and publish it in the status object."""
        if incarnation not in self.deaths:
            self.deaths.append(incarnation)
            self.publish_status()

    def publish_status(self) -> None:
        """Write this router's status object; retry until it is written."""
        if self._writing:
            return
        self._writing = True
        deaths = tuple(self.deaths)
        self._sim.platform.write(
            self._process,
            f"router/{self._process.instance}",
            msgspec.json.encode((self._process.incarnation, deaths)),
            self._version,
            lambda result: self._on_published(result, deaths),
        )

    def _on_published(self, result: object, deaths: tuple[str, ...]) -> None:
        self._writing = False
        if isinstance(result, int):
            self._version = result
            if deaths != tuple(self.deaths):
                self.publish_status()
            return

        def on_read(read_entry: object) -> None:
            if not isinstance(read_entry, Exception):
                self._version = read_entry.version
            self._process.call_after(0.5, self.publish_status)

        key = f"router/{self._process.instance}"
        self._sim.platform.get(self._process, key, on_read)

    def _on_status_entry(self, read_entry: entry.Entry) -> None:
        instance = read_entry.key.partition("/")[2]
        incarnation, deaths = msgspec.json.decode(
            read_entry.value, type=tuple[str, tuple[str, ...]]
        )
        previous = self._statuses.get(instance)
        self._statuses[instance] = (incarnation, deaths)
        if previous is not None and previous[0] != incarnation:
            self._on_death(previous[0])
        self._on_status()

    def _on_instance_entry(self, read_entry: entry.Entry) -> None:
        instance = read_entry.key.partition("/")[2]
        if read_entry.value is not None:
            self._unlisted_since.pop(instance, None)
        elif instance in self._statuses:
            incarnation = self._statuses[instance][0]
            self._unlisted_since[instance] = (self._process.now_s, incarnation)

    def _confirm_unlisted(self) -> None:
        """Confirm the deaths of instances that are no longer listed.

        The instance is read from the platform first, because a router that
        was cut off may have missed that a new process has started.
        """
        limit_s = self._process.now_s - DEATH_CONFIRMATION_S
        for instance, (since_s, incarnation) in list(
            self._unlisted_since.items()
        ):
            if since_s > limit_s or (
                self._last_reply_s.get(incarnation, 0.0) > limit_s
            ):
                continue

            def on_read(result: object, dead: str = incarnation) -> None:
                if isinstance(result, _errors.NotFoundError):
                    self._unlisted_since.pop(dead.partition("#")[0], None)
                    self._on_death(dead)

            key = f"instances/{instance}"
            self._sim.platform.get(self._process, key, on_read)

    def _probe_peers(self) -> None:
        for instance, router in self._sim.routers.items():
            if instance != self._process.instance:
                peer = router.process
                self._sim.net.send(
                    self._process,
                    peer,
                    self._send_probe_reply,
                    peer,
                    size_bytes=90,
                )
        self._report_reachable()
        self._confirm_unlisted()

    def _send_probe_reply(self, peer: host.Host) -> None:
        self._sim.net.send(
            peer,
            self._process,
            self._on_probe_reply,
            peer.incarnation,
            size_bytes=110,
        )

    def _on_probe_reply(self, incarnation: str) -> None:
        self._last_reply_s[incarnation] = self._process.now_s
        if incarnation not in self._known_reachable:
            self._report_reachable()

    def _report_reachable(self) -> None:
        reachable = frozenset(self.reachable())
        if reachable != self._known_reachable:
            self._known_reachable = reachable
            self._on_reachable()
