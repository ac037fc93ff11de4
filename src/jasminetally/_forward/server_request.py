"""Encoding of a request for a backend server or another router."""

from __future__ import annotations

from jasminetally._forward import header_names
from jasminetally._forward import hop_by_hop
from jasminetally._forward import request_job

# Largest priority value that servers accept, the least urgent; they treat a
# request without a priority as 5.
LOWEST_PRIORITY = 9
# Names the router that relays a request to another one.
RELAYED_BY = b"jasminetally-relayed-by"


def encode_request(
    job: request_job.RequestJob,
    names: header_names.HeaderNames,
    *,
    server: str,
    now_s: float,
) -> bytes:
    """Encode a request for a backend server.

    Headers that only the router may set are removed from the caller's request
    and set anew.

    Args:
        job: The request.
        names: Header names of the platform.
        server: Id of the server that is to run the request.
        now_s: Monotonic time in seconds; determines the time left until the
            deadline.
    """
    replaced_names = {
        names.deadline_ms,
        names.account,
        names.expected_server,
        names.priority,
        b"authorization",
        RELAYED_BY,
        *names.reserved,
    }
    if job.route.resumable:
        # The server must go on after the event for which it was chosen, and
        # not after one that it reads differently in the caller's header.
        replaced_names.add(names.last_event_id)
    lines = _encode_start(job, names, replaced_names, now_s)
    lines.append(names.expected_server + b": " + server.encode())
    if job.account is not None:
        lines.append(names.account + b": " + job.account.name.encode())
    if job.prompt_tokens:
        priority = min(max(0, job.priority), LOWEST_PRIORITY)
        lines.append(names.priority + b": %d" % priority)
    if job.last_event_id is not None:
        lines.append(names.last_event_id + b": %d" % job.last_event_id)
    return _encode_end(job, lines)


def encode_for_router(
    job: request_job.RequestJob,
    names: header_names.HeaderNames,
    *,
    own_node: str,
    now_s: float,
) -> bytes:
    """Encode a request for another router, as the caller would send it.

    Args:
        job: The request.
        names: Header names of the platform.
        own_node: Name of the instance of the router that relays it.
        now_s: Monotonic time in seconds; determines the time left until the
            deadline.
    """
    lines = _encode_start(job, names, {names.deadline_ms, RELAYED_BY}, now_s)
    lines.append(RELAYED_BY + b": " + own_node.encode())
    return _encode_end(job, lines)


def _encode_start(
    job: request_job.RequestJob,
    names: header_names.HeaderNames,
    replaced_names: set[bytes],
    now_s: float,
) -> list[bytes]:
    """Return the request line, the caller's headers and the deadline."""
    lines = [job.request.method + b" " + job.request.target + b" HTTP/1.1"]
    lines += [
        name + b": " + value
        for name, value in hop_by_hop.end_to_end_headers(job.request.headers)
        if name not in replaced_names
    ]
    left_ms = max(1, int((job.deadline_s - now_s) * 1000))
    lines.append(names.deadline_ms + b": %d" % left_ms)
    return lines


def _encode_end(job: request_job.RequestJob, lines: list[bytes]) -> bytes:
    """Return a request with the length of its body and the body."""
    if job.request.body or job.request.method not in (b"GET", b"HEAD"):
        lines.append(b"Content-Length: %d" % len(job.request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + job.request.body
