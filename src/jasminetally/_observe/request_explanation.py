"""Explanation of one request from the routers' structured logs."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

LogLine = dict[str, Any]

# Time before a request's first line in which context events are included.
CONTEXT_WINDOW_S = 15.0
# Events that are not part of a request but may explain its outcome, because
# they change a router's view of the store, the configuration, the servers or
# the owners of shards of prepaid tokens.
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
        "server_cut_off",
        "server_expired",
        "server_removed",
        "service_reached",
        "service_unreachable",
        "store_lost",
        "store_reachable",
    }
)
# Descriptions of the outcomes of requests that were not answered.
OUTCOME_MEANINGS = {
    "budget_exhausted": "the account's remaining prepaid tokens do not cover "
    "the most that the request may use",
    "budget_unavailable": "no prepaid tokens could be reserved at that moment",
    "caller_left": "the caller closed its connection before the answer was "
    "complete",
    "internal_error": "the router failed; its internal_error line has the "
    "exception",
    "link_full": "this router's network link could not have sent it in time",
    "no_configuration": "the router had not yet received a configuration",
    "no_server": "no backend server was left to try",
    "no_time_left": "too little time was left before its deadline when it "
    "arrived",
    "out_of_time": "it was not answered within the time limit of its route",
    "outcome_unknown": "a backend server may have run it, and it may not be "
    "repeated",
    "relayed": "this router reached no server, and another router served it; "
    "read the log of that router, too",
    "routers_unreachable": "this router reached no server, and no other router "
    "accepted a connection",
    "servers_full": "the backend servers that were tried refused it",
    "servers_unreachable": "no backend server accepted a connection",
    "stopping": "the router was shutting down",
    "unknown_key": "the configuration in force does not contain its API key",
    "no_route": "no route of the configuration in force matches it",
}


def parse_log(text: str) -> list[LogLine]:
    """Return the structured lines of a log.

    A structured line may follow other text on its row, such as the time and
    the instance that a log collector prefixes. All other text is skipped.
    """
    lines = []
    for row in text.splitlines():
        start = row.find("{")
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(row[start:])
        except msgspec.MsgspecError:
            # Other text, or a line that was cut off, explains no request.
            continue
        if isinstance(line, dict) and "event" in line and "t" in line:
            lines.append(line)
    return lines


def explain_request(request: str, lines: Iterable[LogLine]) -> list[str] | None:
    """Return a request's log lines with their context, and a conclusion.

    Context events count only if a router wrote them that handled the request.

    Args:
        request: Id of the request.
        lines: Log lines of any number of routers, in any order.

    Returns:
        Text lines in order of time, the conclusion last; None if no log line
        names the request.
    """
    lines = sorted(lines, key=lambda line: line["t"])
    request_lines = [line for line in lines if line.get("request") == request]
    if not request_lines:
        return None
    nodes = {line.get("node") for line in request_lines}
    first_s, last_s = request_lines[0]["t"], request_lines[-1]["t"]
    selected = [
        line
        for line in lines
        if line.get("request") == request
        or (
            line.get("node") in nodes
            and line["event"] in CONTEXT_EVENTS
            and first_s - CONTEXT_WINDOW_S <= line["t"] <= last_s
        )
    ]
    return [_format_line(line, first_s) for line in selected] + [
        _conclusion(request_lines)
    ]


def _format_line(line: LogLine, first_s: float) -> str:
    fields = " ".join(
        f"{name}={value}"
        for name, value in line.items()
        if name not in ("t", "event", "node", "request") and value is not None
    )
    return (
        f"{line['t'] - first_s:+9.3f} s {line.get('node')} "
        f"{line['event']} {fields}"
    )


def _conclusion(request_lines: list[LogLine]) -> str:
    """Return one line on how a request ended and why."""
    # Of two routers, the one that relayed the request ends it last.
    last = next(
        (
            line
            for line in reversed(request_lines)
            if "outcome" in line and line["outcome"] != "relayed"
        ),
        request_lines[-1],
    )
    code = last.get("outcome") or last.get("code") or last["event"]
    attempts = last.get("attempts", 0)
    sent = f"sent to {attempts} server{'s' * (attempts != 1)}"
    if str(code).startswith("answered_"):
        status = str(code).removeprefix("answered_")
        return f"Answered with the server's status {status}, {sent}."
    meaning = OUTCOME_MEANINGS.get(str(code), str(code))
    failures = [
        f"{line.get('server')}: {line.get('reason') or line.get('result')}"
        for line in request_lines
        if line["event"] == "attempt_failed"
    ]
    refusals = [
        line["reason"]
        for line in request_lines
        if line["event"] == "request_refused" and line.get("reason")
    ]
    detail = "; ".join(refusals + failures)
    return f"Not answered ({code}): {meaning}; {sent}. {detail}".rstrip()
