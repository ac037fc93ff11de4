"""Stand-in of the object store of the users' platform, on loopback."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import copy
import json
from typing import NamedTuple
from urllib import parse

from testing.users_platform import http_messages

# Kinds that belong to others: the store refuses to create objects of them. The
# platform's pages do not name this one.
REFUSED_KINDS = ("versions",)


class StoreCopy(NamedTuple):
    """State that a store can be restored to."""

    objects: dict[tuple[str, str], dict]
    history: list[tuple[str, dict, bool]]
    revision: int


class Store:
    """HTTP server of objects with conditional writes and watches.

    Attributes:
        objects: Objects by kind and name.
        history: Kind and object of each change, and whether it is a deletion;
            oldest first.
        revision: Revision of the last change.
        down: Closes connections instead of responding, to model an outage.
        replies_to_lose: Number of coming writes that take effect but get no
            reply.
        replies_to_cut: Number of coming writes that take effect and whose
            replies end, with their connection, inside their head.
        compacted_revision: Watches from an earlier revision are answered with
            410, as if the history before it had been discarded.
        writes: Number of write requests so far.
        watches: Number of watches so far, by kind of the objects.
        raw_contents: Contents of objects that are sent as they are, by name.
        era: Number of restores, sent with each response; None to send none.
        address: ``ip:port``, once it is started.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[str, dict, bool]] = []
        self.revision = 1
        self.down = False
        self.replies_to_lose = 0
        self.replies_to_cut = 0
        self.compacted_revision = 0
        self.writes = 0
        self.watches: collections.Counter[str] = collections.Counter()
        self.raw_contents: dict[str, bytes] = {}
        self.era: int | None = 0
        self._history_changed = asyncio.Condition()
        self._server: asyncio.Server | None = None
        self._open_writers: set = set()
        self.address = ""

    async def start(self) -> None:
        """Start to listen on a free port of 127.0.0.1."""
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in self._open_writers:
            writer.transport.abort()

    def take_copy(self) -> StoreCopy:
        """Return the present state."""
        return StoreCopy(
            copy.deepcopy(self.objects), self.history.copy(), self.revision
        )

    def restore(self, saved: StoreCopy) -> None:
        """Return to an earlier state; later revisions are given out again."""
        self.objects = copy.deepcopy(saved.objects)
        self.history = saved.history.copy()
        self.revision = saved.revision
        self.era = (self.era or 0) + 1
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections, also those of waiting watches."""
        for writer in list(self._open_writers):
            writer.transport.abort()

    async def put(self, kind: str, name: str, specification) -> None:
        """Create or replace an object, regardless of its revision.

        Tests call it to write as the operator or a backend server does.
        """
        self.revision += 1
        old_metadata = self.objects.get((kind, name), {}).get("metadata", {})
        new = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": old_metadata.get("created", self.revision),
                "finalizers": [],
                "deletion_pending": False,
            },
            "specification": specification,
            "status": None,
        }
        self.objects[kind, name] = new
        await self._append_change(kind, new, False)

    async def put_raw(self, kind: str, name: str, content: bytes) -> None:
        """Create or replace an object whose content need not be sound JSON."""
        self.raw_contents[name] = content
        await self.put(kind, name, _raw_placeholder(name))

    def _insert_raw_contents(self, data: bytes) -> bytes:
        for name, content in self.raw_contents.items():
            placeholder = json.dumps(_raw_placeholder(name)).encode()
            data = data.replace(placeholder, content)
        return data

    async def remove(self, kind: str, name: str) -> None:
        """Delete an object."""
        removed = self.objects.pop((kind, name))
        self.revision += 1
        removed = {
            **removed,
            "metadata": {**removed["metadata"], "revision": self.revision},
        }
        await self._append_change(kind, removed, True)

    async def _append_change(self, kind, changed, deleted) -> None:
        self.history.append((kind, changed, deleted))
        async with self._history_changed:
            self._history_changed.notify_all()

    async def _handle_connection(self, reader, writer) -> None:
        self._open_writers.add(writer)
        with contextlib.suppress(*http_messages.DISCONNECT_EXCEPTIONS):
            while True:
                request = await http_messages.read_request(reader)
                if self.down:
                    break
                status, body = await self._respond(*request)
                if request[0] != "GET":
                    self.writes += 1
                    if self.replies_to_lose:
                        self.replies_to_lose -= 1
                        break
                data = self._insert_raw_contents(json.dumps(body).encode())
                lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(data)}"]
                if self.era is not None:
                    lines.append(f"Store-Era: {self.era}")
                head = "\r\n".join(lines).encode() + b"\r\n\r\n"
                if request[0] != "GET" and self.replies_to_cut:
                    self.replies_to_cut -= 1
                    writer.write(head[: head.index(b"Length")])
                    await writer.drain()
                    break
                writer.write(head + data)
        self._open_writers.discard(writer)
        writer.transport.abort()

    async def _respond(self, method, target, headers, body):
        """Return the status and the JSON body of the response to a request.

        A list has at most two objects a page, so that clients must read
        several pages.
        """
        url = parse.urlsplit(target)
        query = dict(parse.parse_qsl(url.query))
        kind, _, name = url.path.removeprefix("/-/objects/").partition("/")
        name = parse.unquote(name)
        existing = self.objects.get((kind, name))
        if method == "GET" and name:
            return (200, existing) if existing else (404, {})
        if method == "GET" and "watch" in query:
            return await self._wait_for_changes(kind, query)
        if method == "GET":
            items = [
                item
                for (item_kind, item_name), item in sorted(self.objects.items())
                if item_kind == kind and item_name > query.get("after", "")
            ]
            return 200, {
                "items": items[:2],
                "truncated": len(items) > 2,
                "current_rev": self.revision,
            }
        if method == "DELETE":
            expected = query.get("revision")
            if not existing:
                return 404, {}
            if expected not in (None, str(existing["metadata"]["revision"])):
                return 409, existing
            await self.remove(kind, name)
            return 200, existing
        new = json.loads(body)
        name = new["metadata"]["name"]
        existing = self.objects.get((kind, name))
        if method == "POST" and kind in REFUSED_KINDS:
            return 403, {}
        if method == "POST" and existing:
            return 409, existing
        if method == "PUT" and not existing:
            return 404, {}
        expected_revision = new["metadata"].get("revision")
        if existing and expected_revision not in (
            None,
            existing["metadata"]["revision"],
        ):
            return 409, existing
        await self.put(kind, name, new["specification"])
        return 200, self.objects[kind, name]

    async def _wait_for_changes(self, kind, query):
        """Respond to a watch as soon as objects of the kind have changed.

        Without changes it responds after ``wait_ms`` milliseconds.
        """
        self.watches[kind] += 1
        after_revision = int(query["watch"])
        if not self.compacted_revision <= after_revision <= self.revision:
            return 410, {}

        def changes():
            return [
                {"object": changed, "deleted": deleted}
                for changed_kind, changed, deleted in self.history
                if changed_kind == kind
                and changed["metadata"]["revision"] > after_revision
            ]

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                async with self._history_changed:
                    await self._history_changed.wait_for(changes)
        return 200, {"events": changes(), "current_rev": self.revision}


def _raw_placeholder(name: str) -> str:
    return f"raw content of {name}"
