"""Control work of configuration spread."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from jasminetally._bench import control_manifest
from jasminetally._bench import control_wire
from jasminetally._config import config_codec
from jasminetally._config import peer_effects
from jasminetally._config import peer_events
from jasminetally._config import platform_effects
from jasminetally._config import platform_events
from jasminetally._config import revision_tracker
from jasminetally._config import tracker_policy

if TYPE_CHECKING:
    from jasminetally._bench import control_size
    from jasminetally._bench import control_tally

TICKS_PER_S = 10
# Two probes sent and two received in a second name a revision.
REVISIONS_HEARD_PER_S = 4
DAY_S = 86_400.0


class ConfigLoad:
    """Watch of the configuration, changes, and revisions of peers."""

    def __init__(self, size: control_size.ControlSize) -> None:
        self._size = size
        self._revision = 1
        self._changes_due = 0.0
        self._watch: platform_effects.WatchConfig | None = None
        self._watch_ends_s = 0.0
        self._handler = control_wire.ProbeHandler("router-0#1")
        self._peers = tuple(
            f"router-{number}" for number in range(1, size.routers)
        )
        self._tracker = revision_tracker.RevisionTracker(
            policy=tracker_policy.TrackerPolicy(), rng=random.Random(1)
        )
        self._rng = random.Random(2)
        self._value = self._encode()
        # Operators encode; a router only decodes.
        self._later = [self._encode() for _ in range(2)]

    def step(self, now_s: float, tally: control_tally.ControlTally) -> None:
        """Take the changes, watch results and revisions of a second."""
        if self._watch is None:
            event = platform_events.StatusRegistered(0, self._peers)
            self._run(self._tracker.handle(event, now_s), now_s, tally)
            self._see(self._value, now_s, tally)
        self._changes_due += self._size.changes / DAY_S
        if self._changes_due >= 1.0:
            self._changes_due -= 1.0
            self._later.append(self._encode())
            self._see(self._later.pop(0), now_s, tally)
        elif now_s >= self._watch_ends_s:
            self._see(None, now_s, tally)
        for _ in range(REVISIONS_HEARD_PER_S):
            peer = self._rng.choice(self._peers)
            event = peer_events.PeerRevision(peer, self._tracker.revision, 0.5)
            self._run(self._tracker.handle(event, now_s), now_s, tally)
        for tick in range(TICKS_PER_S):
            at_s = now_s + tick / TICKS_PER_S
            self._run(self._tracker.tick(at_s), at_s, tally)

    def _see(
        self,
        value: bytes | None,
        now_s: float,
        tally: control_tally.ControlTally,
    ) -> None:
        tally.platform_reads += 1
        event = platform_events.WatchReturned(
            self._watch.attempt, value, self._revision if value else 0
        )
        self._run(self._tracker.handle(event, now_s), now_s, tally)

    def _run(
        self,
        effects: list[revision_tracker.Effect],
        now_s: float,
        tally: control_tally.ControlTally,
    ) -> None:
        for effect in effects:
            match effect:
                case platform_effects.WatchConfig():
                    self._watch = effect
                    self._watch_ends_s = now_s + effect.timeout_s
                    tally.waiting_watches = 1
                case platform_effects.PutConfigInForce():
                    # The router reports its revision at once.
                    tally.platform_writes += 1
                case peer_effects.ExchangeRevision():
                    message = control_wire.probe_message(self._handler)
                    tally.send(message)
                    # On average a router is announced to as often.
                    tally.send(control_wire.answer(self._handler, message))

    def _encode(self) -> bytes:
        stored = control_manifest.build(self._size, self._revision)
        self._revision += 1
        return config_codec.encode(stored)
