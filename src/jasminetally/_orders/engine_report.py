"""Decoder of the state that engines report."""

from __future__ import annotations

import msgspec

from jasminetally._orders import engine_state


class EngineReport(msgspec.Struct):
    """JSON body of the response to ``GET /v1/state``.

    Other fields of the body are ignored.
    """

    models: list[str] = []
    versions: list[str] = []
    adapters: list[str] = []
    role: str = "mixed"
    busy: bool = False


_decoder = msgspec.json.Decoder(EngineReport)


def decode(body: bytes) -> engine_state.EngineState | None:
    """Decode the body of a state report.

    Returns:
        The reported state; None if the body is invalid.
    """
    try:
        report = _decoder.decode(body)
    except msgspec.MsgspecError:
        return None
    return engine_state.EngineState(
        models=frozenset(report.models),
        versions=frozenset(report.versions),
        adapters=frozenset(report.adapters),
        role=report.role,
        busy=report.busy,
    )
