"""Control load of configuration distribution."""

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
# Each second two probes are sent and two received; each exchange carries the
# peer's revision.
REVISIONS_RECEIVED_PER_S = 4
SECONDS_PER_DAY = 86_400.0


class ConfigLoad:
    """Configuration watch, configuration changes and peers' revisions."""

    def __init__(self, size: control_size.ControlSize) -> None:
        self._size = size
        self._revision = 1
        self._changes_due = 0.0
        self._open_watch: platform_effects.WatchConfig | None = None
        self._watch_ends_s = 0.0
        self._handler = control_wire.ProbeHandler("router-0#1")
        self._peers = tuple(
            f"router-{number}" for number in range(1, size.routers)
        )
        self._tracker = revision_tracker.RevisionTracker(
            policy=tracker_policy.TrackerPolicy(), rng=random.Random(1)
        )
        self._rng = random.Random(2)
        self._first_value = self._encode_config()
        # Encoded in advance, because operators encode configurations and
        # routers only decode them.
        self._next_values = [self._encode_config() for _ in range(2)]

    def step(self, now_s: float, tally: control_tally.ControlTally) -> None:
        """Process the changes, watch results and revisions of one second."""
        if self._open_watch is None:
            event = platform_events.StatusRegistered(0, self._peers)
            self._run_effects(self._tracker.handle(event, now_s), now_s, tally)
            self._end_watch(self._first_value, now_s, tally)
        self._changes_due += self._size.changes / SECONDS_PER_DAY
        if self._changes_due >= 1.0:
            self._changes_due -= 1.0
            self._next_values.append(self._encode_config())
            self._end_watch(self._next_values.pop(0), now_s, tally)
        elif now_s >= self._watch_ends_s:
            self._end_watch(None, now_s, tally)
        for _ in range(REVISIONS_RECEIVED_PER_S):
            peer = self._rng.choice(self._peers)
            event = peer_events.PeerRevision(peer, self._tracker.revision, 0.5)
            self._run_effects(self._tracker.handle(event, now_s), now_s, tally)
        for tick in range(TICKS_PER_S):
            at_s = now_s + tick / TICKS_PER_S
            self._run_effects(self._tracker.tick(at_s), at_s, tally)

    def _end_watch(
        self,
        value: bytes | None,
        now_s: float,
        tally: control_tally.ControlTally,
    ) -> None:
        tally.platform_reads += 1
        event = platform_events.WatchReturned(
            self._open_watch.attempt, value, self._revision if value else 0
        )
        self._run_effects(self._tracker.handle(event, now_s), now_s, tally)

    def _run_effects(
        self,
        effects: list[revision_tracker.Effect],
        now_s: float,
        tally: control_tally.ControlTally,
    ) -> None:
        for effect in effects:
            match effect:
                case platform_effects.WatchConfig():
                    self._open_watch = effect
                    self._watch_ends_s = now_s + effect.timeout_s
                    tally.waiting_watches = 1
                case platform_effects.PutConfigInForce():
                    # The router writes its applied revision at once.
                    tally.platform_writes += 1
                case peer_effects.ExchangeRevision():
                    message = control_wire.encode_probe(self._handler)
                    tally.count_message(message)
                    # On average a router receives as many announcements as
                    # it sends.
                    tally.count_message(
                        control_wire.encode_reply(self._handler, message)
                    )

    def _encode_config(self) -> bytes:
        stored = control_manifest.build_config(self._size, self._revision)
        self._revision += 1
        return config_codec.encode(stored)
