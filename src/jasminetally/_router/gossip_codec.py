"""Encoding of the gossip items that routers attach to probes."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

import msgspec

from jasminetally._membership import evidence
from jasminetally._membership import router_state
from jasminetally._wire.gen.peer import ttypes

if TYPE_CHECKING:
    from collections.abc import Iterable

STATE_KIND = "state"
DEATH_KIND = "death"
RECOVERED_KIND = "recovered"


class SenderState(NamedTuple):
    """State of the sender of a message.

    Attributes:
        state: State of the router.
        confirmed_age_s: Seconds since its revision was last confirmed to be the
            latest; negative if it never was.
    """

    state: router_state.RouterState
    confirmed_age_s: float


_state_decoder = msgspec.msgpack.Decoder(SenderState)
_evidence_decoder = msgspec.msgpack.Decoder(evidence.Evidence)


def encode_items(
    incarnation: str,
    state: SenderState,
    observed: Iterable[evidence.Evidence],
) -> list[ttypes.NewsItem]:
    """Encode the state of a router and its evidence about other routers.

    Args:
        incarnation: Incarnation of the router.
        state: State of the router.
        observed: Its evidence about unresponsive routers.
    """
    items = [
        ttypes.NewsItem(
            kind=STATE_KIND,
            subject=incarnation,
            number=0,
            payload=msgspec.msgpack.encode(state),
        )
    ]
    for item in observed:
        items.append(
            ttypes.NewsItem(
                kind=DEATH_KIND,
                subject=item.incarnation,
                number=item.failed_probes,
                payload=msgspec.msgpack.encode(item),
            )
        )
    return items


def recovered_item(incarnation: str) -> ttypes.NewsItem:
    """Return the item stating that a dead router's grants are reclaimed."""
    return ttypes.NewsItem(
        kind=RECOVERED_KIND, subject=incarnation, number=0, payload=b""
    )


def recovered_incarnations(items: Iterable[ttypes.NewsItem]) -> list[str]:
    """Return the incarnations whose grants are reclaimed."""
    return [item.subject for item in items if item.kind == RECOVERED_KIND]


def decode_state(items: Iterable[ttypes.NewsItem]) -> SenderState:
    """Return the state of the sender; STARTING if missing or malformed."""
    for item in items:
        if item.kind == STATE_KIND:
            try:
                return _state_decoder.decode(item.payload)
            except msgspec.MsgspecError:
                break
    return SenderState(router_state.RouterState.STARTING, -1.0)


def decode_evidence(
    items: Iterable[ttypes.NewsItem],
) -> list[evidence.Evidence]:
    """Return the evidence about unresponsive routers.

    Malformed items are skipped.
    """
    decoded = []
    for item in items:
        if item.kind != DEATH_KIND:
            continue
        try:
            decoded.append(_evidence_decoder.decode(item.payload))
        except msgspec.MsgspecError:
            continue
    return decoded
