"""HTTP messages as callers and back ends of the users' platform see them."""

from __future__ import annotations

import asyncio
import json

API_KEY = "key-of-acme"
# How the handler of a connection ends when its peer or the test is gone.
DISCONNECT_EXCEPTIONS = (
    OSError,
    asyncio.IncompleteReadError,
    asyncio.CancelledError,
)


async def read_request(reader):
    """Return the method, target, headers and body of one request."""
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
    headers=(),
) -> bytes:
    """Return the bytes of a request."""
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
        prompt, most = tokens
        lines += [
            f"X-Jasminetally-Token-Usage: {prompt},{most}",
            f"X-Jasminetally-Prompt-Prefix: aa:10,bb:{prompt - 10}",
            "X-Jasminetally-Model: m",
        ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response_head(reader):
    """Return the status and headers of one answer."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return int(first.split(" ")[1]), headers


async def read_body_chunks(reader, headers):
    """Yield the pieces of a body, one for each chunk."""
    if "content-length" in headers:
        yield await reader.readexactly(int(headers["content-length"]))
        return
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return
        yield piece[:-2]


async def read_response(reader):
    """Return status, headers and body of one answer."""
    status, headers = await read_response_head(reader)
    pieces = [piece async for piece in read_body_chunks(reader, headers)]
    return status, headers, b"".join(pieces)


async def send_get(address: str, path: str):
    """Return status, headers and body of the answer to one plain question."""
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
    """Return whether a router says that it takes requests."""
    try:
        status, _, _ = await send_get(address, "/-/readyz")
    except (OSError, asyncio.IncompleteReadError):
        return False
    return status == 200


async def get_router_addresses(address: str) -> list[str]:
    """Return the addresses that a router names to callers."""
    _, _, body = await send_get(address, "/-/resolve?name=site.example")
    return json.loads(body)["addresses"]
