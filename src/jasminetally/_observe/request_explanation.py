"""Explanation of one request from the routers' structured logs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

LogLine = dict[str, Any]

# How long before a request a dependency's line still explains it.
CONTEXT_WINDOW_S = 15.0
# Lines that change what a router believes and may explain a request.
CONTEXT_EVENTS = frozenset(
    {
        "configuration_in_force",
        "home_accounted",
        "home_superseded",
        "home_taken",
        "home_unreachable",
        "record_not_stored",
        "router_started",
        "router_stopping",
        "server_expired",
        "server_removed",
        "store_lost",
        "store_reachable",
    }
)
# What the codes of the last line mean.
OUTCOME_MEANINGS = {
    "budget_exhausted": "what is left of the account's prepaid tokens does not "
    "cover the request at its largest",
    "budget_unavailable": "no tokens could be reserved at that moment",
    "caller_left": "the caller closed its connection before the end",
    "no_configuration": "the router had no configuration yet",
    "no_server": "no backend server was left to try",
    "no_time_left": "its deadline had passed when it arrived",
    "out_of_time": "it was not answered within the time of its route",
    "outcome_unknown": "a backend server may have run it, and it may not be "
    "repeated",
    "servers_full": "the backend servers refused it",
    "servers_unreachable": "no backend server accepted a connection",
    "stopping": "the router was shutting down",
    "unknown_key": "its key is in no version of the configuration in force",
    "no_route": "no route of the configuration in force matches it",
}


def parse_log(text: str) -> list[LogLine]:
    """Return the structured lines of a log; other text is left out."""
    lines = []
    for row in text.splitlines():
        start = row.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(row[start:])
        except msgspec.MsgspecError:
            # A log holds other text too; it explains no request.
            continue
        if isinstance(line, dict) and "event" in line and "t" in line:
            lines.append(line)
    return lines


def explain_request(request: str, lines: Iterable[LogLine]) -> list[str] | None:
    """Return the lines of a request in order, and a sentence at the end.

    Args:
        request: Id of the request.
        lines: Log lines of any number of routers.

    Returns:
        Text lines; None if no log line names the request.
    """
    lines = sorted(lines, key=lambda line: line["t"])
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return None
    nodes = {line.get("node") for line in own}
    first_s, last_s = own[0]["t"], own[-1]["t"]
    told = [
        line
        for line in lines
        if line.get("request") == request
        or (
            line.get("node") in nodes
            and line["event"] in CONTEXT_EVENTS
            and first_s - CONTEXT_WINDOW_S <= line["t"] <= last_s
        )
    ]
    return [_row(line, first_s) for line in told] + [_sentence(own)]


def _row(line: LogLine, first_s: float) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in ("t", "event", "node", "request") and value is not None
    )
    return (
        f"{line['t'] - first_s:+9.3f} s {line.get('node')} "
        f"{line['event']} {fields}"
    )


def _sentence(own: list[LogLine]) -> str:
    last = own[-1]
    code = last.get("outcome") or last.get("code") or last["event"]
    attempts = last.get("attempts", 0)
    sent = f"sent to {attempts} server{'s' * (attempts != 1)}"
    if str(code).startswith("answered_"):
        status = str(code).removeprefix("answered_")
        return f"Answered with the server's status {status}, {sent}."
    meaning = OUTCOME_MEANINGS.get(str(code), str(code))
    failures = [
        f"{line.get('server')}: {line.get('reason') or line.get('result')}"
        for line in own
        if line["event"] == "attempt_failed"
    ]
    reasons = [
        line["reason"]
        for line in own
        if line["event"] == "request_refused" and line.get("reason")
    ]
    detail = "; ".join(reasons + failures)
    return f"Not answered ({code}): {meaning}; {sent}. {detail}".rstrip()
