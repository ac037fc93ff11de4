"""Control load of membership."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from jasminetally._bench import control_tally
from jasminetally._bench import control_wire
from jasminetally._membership import addresses
from jasminetally._membership import instance_view
from jasminetally._membership import list_events
from jasminetally._membership import listed_instance
from jasminetally._membership import probe_events
from jasminetally._membership import router_state
from jasminetally._membership import router_status
from jasminetally._membership import status_codec
from jasminetally._membership import status_events
from jasminetally._membership import view_effects
from jasminetally._membership import view_policy
from jasminetally._platform import entry

if TYPE_CHECKING:
    from jasminetally._bench import control_size

TICKS_PER_S = 10
STATUS_PERIOD_S = 5


class MembershipLoad:
    """Probes, reads of the instance list and statuses, status writes."""

    def __init__(self, size: control_size.ControlSize) -> None:
        self._statuses = [
            _make_status(number) for number in range(size.routers)
        ]
        self._status_entries = [
            entry.Entry(
                f"router/{each.instance}", status_codec.encode_status(each), 1
            )
            for each in self._statuses[1:]
        ]
        self._list_entries = [
            entry.Entry(f"instances/{name}", _encode_listed(name), 1)
            for name in (
                *(each.instance for each in self._statuses),
                *(f"engine-{number}" for number in range(size.engines)),
            )
        ]
        self._own_status = self._statuses[0]
        self._handler = control_wire.ProbeHandler(self._own_status.incarnation)
        self._peer_handler = control_wire.ProbeHandler(
            self._statuses[-1].incarnation
        )
        self._view = instance_view.InstanceView(
            own=self._own_status,
            policy=view_policy.ViewPolicy(),
            rng=random.Random(1),
        )

    def step(self, now_s: float, tally: control_tally.ControlTally) -> None:
        """Tick, send probes and answer as many probes of peers."""
        for tick in range(TICKS_PER_S):
            at_s = now_s + tick / TICKS_PER_S
            for effect in self._view.tick(at_s):
                match effect:
                    case view_effects.ProbePeer(instance):
                        self._probe_peer(instance, at_s, tally)
                        self._answer_probe(at_s, tally)
                    case view_effects.ReadMembers():
                        self._read_members(at_s, tally)
            self._publish_view()
        if int(now_s) % STATUS_PERIOD_S == 0:
            status_codec.encode_status(self._own_status)
            tally.platform_writes += 1

    def addresses(self) -> addresses.Addresses:
        """Return the addresses for callers; read the routers if not known."""
        if not self._view.routers():
            self._read_members(0.0, control_tally.ControlTally())
        return self._view.addresses()

    def _probe_peer(
        self, instance: str, now_s: float, tally: control_tally.ControlTally
    ) -> None:
        message = control_wire.encode_probe(self._handler)
        tally.count_message(message)
        reply = control_wire.encode_reply(self._peer_handler, message)
        control_wire.decode_reply(reply)
        incarnation = self._view.routers()[instance].incarnation
        self._on_peer_message(incarnation, now_s)

    def _answer_probe(
        self, now_s: float, tally: control_tally.ControlTally
    ) -> None:
        message = control_wire.encode_probe(self._peer_handler)
        tally.count_message(control_wire.encode_reply(self._handler, message))
        self._on_peer_message(self._peer_handler.sender.incarnation, now_s)

    def _on_peer_message(self, incarnation: str, now_s: float) -> None:
        ready = router_state.RouterState.READY
        event = probe_events.PeerMessageReceived(incarnation, ready)
        self._view.handle(event, now_s)
        self._publish_view()

    def _read_members(
        self, now_s: float, tally: control_tally.ControlTally
    ) -> None:
        tally.platform_reads += 2
        listed = tuple(
            map(status_codec.decode_listed_instance, self._list_entries)
        )
        statuses = tuple(map(status_codec.decode_status, self._status_entries))
        self._view.handle(list_events.ListRead(listed), now_s)
        self._view.handle(status_events.StatusesRead(statuses), now_s)
        self._publish_view()

    def _publish_view(self) -> None:
        """Derive what the control actor publishes after each message."""
        tuple(sorted(self._view.routers()))
        self._view.addresses()
        frozenset(self._view.deaths)


def _make_status(number: int) -> router_status.RouterStatus:
    instance = f"router-{number}"
    return router_status.RouterStatus(
        instance=instance,
        incarnation=f"{instance}#{number + 1}",
        data_centre=f"dc-{number % 23}",
        http_address=f"127.0.0.1:{8000 + number}",
        peer_address=f"127.0.0.1:{9000 + number}",
        state=router_state.RouterState.READY,
        revision=1,
    )


def _encode_listed(name: str) -> bytes:
    return msgspec.json.encode(
        listed_instance.ListedInstance(name, "dc-1", "live")
    )
