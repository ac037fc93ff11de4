"""Stand-in of the users' object store, over loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
from urllib import parse

from testing.users_platform import http_messages


class Store:
    """Objects with revisions, conditions and watches over HTTP."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[str, dict, bool]] = []
        self.revision = 1
        self.down = False
        self.replies_to_lose = 0
        self.compacted_revision = 0
        self.writes = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._writers: set = set()
        self.address = ""

    async def start(self) -> None:
        """Bind an address and begin to serve."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop serving."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    def reset_connections(self) -> None:
        """Reset all connections; watches that wait are cut."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def put(self, kind: str, name: str, specification) -> None:
        """Write an object as the operator or an engine."""
        self.revision += 1
        created = self.objects.get((kind, name), {}).get("metadata", {})
        found = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created.get("created", self.revision),
                "finalizers": [],
                "deletion_pending": False,
            },
            "specification": specification,
            "status": None,
        }
        self.objects[kind, name] = found
        await self._record(kind, found, False)

    async def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.pop((kind, name))
        self.revision += 1
        found = {
            **found,
            "metadata": {**found["metadata"], "revision": self.revision},
        }
        await self._record(kind, found, True)

    async def _record(self, kind, found, deleted) -> None:
        self.events.append((kind, found, deleted))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        with contextlib.suppress(*http_messages.DISCONNECT_EXCEPTIONS):
            while True:
                request = await http_messages.read_request(reader)
                if self.down:
                    break
                status, body = await self._answer(*request)
                if request[0] != "GET":
                    self.writes += 1
                    if self.replies_to_lose:
                        self.replies_to_lose -= 1
                        break
                data = json.dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
        self._writers.discard(writer)
        writer.transport.abort()

    async def _answer(self, method, target, headers, body):
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix("/-/objects/").partition("/")
        name = parse.unquote(name)
        found = self.objects.get((kind, name))
        if method == "GET" and name:
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            items = [
                item
                for (of, item_name), item in sorted(self.objects.items())
                if of == kind and item_name > query.get("after", "")
            ]
            return 200, {
                "items": items[:2],
                "truncated": len(items) > 2,
                "current_rev": self.revision,
            }
        sent = json.loads(body)
        name = sent["metadata"]["name"]
        found = self.objects.get((kind, name))
        if method == "POST" and found:
            return 409, found
        if method == "PUT" and not found:
            return 404, {}
        expected = sent["metadata"].get("revision")
        if found and expected not in (None, found["metadata"]["revision"]):
            return 409, found
        await self.put(kind, name, sent["specification"])
        return 200, self.objects[kind, name]

    async def _watch(self, kind, query):
        since = int(query["watch"])
        if since < self.compacted_revision:
            return 410, {}

        def changes():
            return [
                {"object": found, "deleted": deleted}
                for of, found, deleted in self.events
                if of == kind and found["metadata"]["revision"] > since
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(changes)
        return 200, {"events": changes(), "current_rev": self.revision}
