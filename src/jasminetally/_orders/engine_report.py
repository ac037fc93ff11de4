"""Reading of an engine's report of its state."""

from __future__ import annotations

import msgspec

from jasminetally._orders import engine_state


class EngineReport(msgspec.Struct):
    """JSON body of ``GET /v1/state``; further fields are ignored."""

    models: list[str] = []
    versions: list[str] = []
    adapters: list[str] = []
    role: str = "mixed"
    busy: bool = False


_decoder = msgspec.json.Decoder(EngineReport)


def decode(body: bytes) -> engine_state.EngineState | None:
    """Return the state in a report, or None if it can't be read."""
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
