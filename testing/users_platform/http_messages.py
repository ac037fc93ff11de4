"""HTTP messages of callers and backend servers of the users' platform."""

from __future__ import annotations

import asyncio
import json

API_KEY = "key-of-acme"
# Raised in the handler of a connection when the client disconnects, or when
# the test ends and cancels the handler.
DISCONNECT_EXCEPTIONS = (
    OSError,
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
)


async def read_request(reader):
    """Return the method, target, headers and body of a request."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def encode_request(
    path: str,
    *,
    method="POST",
    body=b"hello",
    key=API_KEY,
    request_id="id-1",
    deadline_ms=5_000,
    tokens=None,
    parts=None,
    headers=(),
) -> bytes:
    """Encode a request.

    Args:
        path: Request target.
        method: HTTP method.
        body: Request body.
        key: API key of the client account.
        request_id: Id of the attempt, which responses repeat.
        deadline_ms: Milliseconds for which the caller waits.
        tokens: Number of prompt tokens and largest number of output tokens of
            a streaming request; None for other requests.
        parts: Ids of the parts of the prompt of a streaming request; None for
            two that all such requests have.
        headers: More header lines.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: site.example",
        f"X-Jasminetally-Attempt-Id: {request_id}",
        f"X-Jasminetally-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    if tokens is not None:
        prompt_tokens, max_output_tokens = tokens
        prefix = f"aa:10,bb:{prompt_tokens - 10}"
        if parts is not None:
            part_tokens = prompt_tokens // len(parts)
            prefix = ",".join(f"{part}:{part_tokens}" for part in parts)
        lines += [
            f"X-Jasminetally-Token-Usage: {prompt_tokens},{max_output_tokens}",
            f"X-Jasminetally-Prompt-Prefix: {prefix}",
            "X-Jasminetally-Model: m",
        ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response_head(reader):
    """Return the status and headers of a response."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return int(first.split(" ")[1]), headers


async def read_body_chunks(reader, headers):
    """Yield the chunks of a response body.

    A body with a Content-Length header is yielded as one chunk.
    """
    if "content-length" in headers:
        yield await reader.readexactly(int(headers["content-length"]))
        return
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return
        yield chunk[:-2]


def encode_chunked_start(path: str, **options) -> bytes:
    """Encode the head of a request whose body follows in chunks.

    Args:
        path: Request target.
        options: As those of ``encode_request``, without the body.
    """
    data = encode_request(path, body=b"", **options)
    head = data.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    assert head != data
    return head


async def read_response(reader):
    """Return the status, headers and body of a response."""
    status, headers = await read_response_head(reader)
    chunks = [chunk async for chunk in read_body_chunks(reader, headers)]
    return status, headers, b"".join(chunks)


async def send_get(address: str, path: str):
    """Send a GET request; return the response's status, headers and body."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: site.example\r\n\r\n".encode()
        )
        return await read_response(reader)
    finally:
        writer.transport.abort()


async def is_ready(address: str) -> bool:
    """Return whether the router with this readiness address is ready."""
    try:
        status, _, _ = await send_get(address, "/-/readyz")
    except (OSError, asyncio.IncompleteReadError):
        return False
    return status == 200


async def get_router_addresses(address: str) -> list[str]:
    """Return the router addresses that a router lists to callers.

    Args:
        address: ``ip:port`` of the router's directory.
    """
    _, _, body = await send_get(address, "/-/resolve?name=site.example")
    return json.loads(body)["addresses"]
