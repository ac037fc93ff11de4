"""Stand-ins of the users' store and engines, and a small deployment.

They speak the published protocol over loopback; the routers are the real ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import socket
import threading
from urllib import parse

from jasminetally._forward import node
from jasminetally._forward import node_settings
from jasminetally._observe import event_log

KEY = "key-of-acme"
STRIDE = 6


# Ports for routers lie below those that the system gives to connections, and
# each test process has a range of its own.
PORTS = itertools.count(12_000 + os.getpid() % 500 * 40)


def free_port() -> int:
    """Return a TCP port that is free and will not be given to a connection."""
    for port in PORTS:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port
    raise AssertionError("unreachable")


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


class Store:
    """Objects with revisions, conditions and watches over HTTP."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[str, dict, bool]] = []
        self.revision = 1
        self.down = False
        self.lose_answers = 0
        self.forgotten = 0
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

    def cut_connections(self) -> None:
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
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                if self.down:
                    break
                status, body = await self._answer(*request)
                if request[0] != "GET":
                    self.writes += 1
                    if self.lose_answers:
                        self.lose_answers -= 1
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
        if since < self.forgotten:
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


class Engine:
    """One backend server; ``behave`` changes how it answers.

    Attributes:
        behave: ``well``, or a fault: ``refuse``, ``fail``, ``cut``,
            ``garbage``, ``stray``, ``extra``, ``hang``, ``unsigned``,
            ``until_close``.
        seen: Requests that arrived: method, target, headers, body.
        running: Requests that are being worked on.
        on_cut: Called when a stream is cut.
        on_request: Called with each request that arrives.
    """

    def __init__(self, name: str, service: str, *, events: int = 4) -> None:
        self.name = name
        self.service = service
        self.events = events
        self.behave = "well"
        self.pause_s = 0.0
        self.on_cut = lambda: None
        self.on_request = lambda: None
        self.seen: list = []
        self.running = 0
        self.connections = 0
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Bind an address and begin to serve."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Stop serving."""
        self._server.close()

    def refuse_connections(self) -> None:
        """Accept no more connections."""
        self._server.close()

    def entry(self, state: str = "ready") -> dict:
        """Return what the server says of itself in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hall",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                self.seen.append(request)
                self.on_request()
                self.running += 1
                work = asyncio.ensure_future(self._work(writer, request))
                gone = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    {work, gone}, return_when=asyncio.FIRST_COMPLETED
                )
                self.running -= 1
                if not work.done():
                    work.cancel()
                    break
                gone.cancel()
                if not work.result():
                    break
                await asyncio.sleep(0)
        writer.transport.abort()

    async def _work(self, writer, request) -> bool:
        """Answer one request; return whether the connection stays open."""
        _, _, headers, body = request
        request_id = headers["x-jasminetally-attempt-id"]
        await asyncio.sleep(self.pause_s)
        match self.behave:
            case "hang":
                await asyncio.sleep(3600)
            case "refuse":
                writer.write(
                    b"HTTP/1.1 503 X\r\nX-Jasminetally-Not-Executed: 1\r\n"
                    b"Content-Length: 0\r\n\r\n"
                )
                return True
            case "garbage":
                writer.write(b"no answer at all\r\n\r\n")
                return False
        status = 500 if self.behave == "fail" else 200
        if self.behave == "stray":
            writer.write(self._head("other", 200) + b"3\r\nabc\r\n0\r\n\r\n")
        if headers.get("x-jasminetally-token-usage"):
            return await self._stream(writer, headers, request_id)
        head = self._head(request_id, status, chunked=False)
        answer = b"answer to " + body
        if self.behave == "until_close":
            writer.write(head + b"\r\n" + answer)
            await writer.drain()
            writer.close()
            return False
        length = b"Content-Length: %d\r\n\r\n" % len(answer)
        head += length
        if self.behave == "cut":
            writer.write(head + answer[:4])
            return False
        writer.write(head + answer)
        if self.behave == "extra":
            writer.write(b"more bytes")
        return True

    async def _stream(self, writer, headers, request_id) -> bool:
        writer.write(self._head(request_id, 200))
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            data = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if self.behave == "cut" and number == 2:
                self.on_cut()
                writer.write(b"%x\r\n%b" % (len(data), data[:7]))
                return False
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        return True

    def _head(self, request_id: str, status: int, *, chunked=True) -> bytes:
        lines = [
            f"HTTP/1.1 {status} X",
            f"X-Jasminetally-Attempt-Id: {request_id}",
            "Keep-Alive: timeout=10",
        ]
        if self.behave != "unsigned":
            lines.append("X-Jasminetally-Server-Signature: " + self.name)
        if chunked:
            lines += [
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            ]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"[: 4 if chunked else 2]


class Site:
    """Routers, engines and a store of one small deployment."""

    def __init__(
        self, formats, object_store, *, routers=1, apps=2, prepaid=1_000_000
    ) -> None:
        self._formats = formats
        self._object_store = object_store
        self._count = routers
        self.prepaid = prepaid
        self.store = Store()
        self.engines = [Engine(f"engine-{n}", "pool") for n in range(2)]
        self.apps = [Engine(f"app-{n}", "app") for n in range(apps)]
        self.settings: list[node_settings.NodeSettings] = []
        self.nodes: list[node.Node] = []
        self.lines: list[dict] = []
        self._tasks: list[asyncio.Task] = []
        self._logs: list = []
        self.version = 0

    async def start(self) -> None:
        """Bind an address and begin to serve."""
        await self.store.start()
        for engine in self.engines + self.apps:
            await engine.start()
            await self.store.put("servers", engine.name, engine.entry())
        await self.configure()
        for number in range(self._count):
            await self.start_router(number)
        await self.settle()

    async def start_router(self, number: int) -> None:
        """Start a router, in the place of an earlier one if there is one."""
        if number == len(self.settings):
            self.settings.append(self._settings(number))
        settings = self.settings[number]
        log = self._log(settings.node)
        started = node.Node(
            settings,
            self._object_store.ObjectStore(self.store.address),
            self._formats.PlatformFormats(),
            log,
        )
        self.nodes[number : number + 1] = [started]
        task = asyncio.ensure_future(started.run())
        self._tasks[number : number + 1] = [task]

    async def kill_router(self, number: int) -> None:
        """End a router without a word, as a kill of its process does."""
        self._tasks[number].cancel()
        await asyncio.wait([self._tasks[number]])
        self.nodes[number].abandon()

    async def settle(self) -> None:
        """Wait until all routers are ready and know each other."""
        while not all(
            found.ready and len(found.known_routers()) == self._count
            for found in self.nodes
        ):
            for task in self._tasks:
                if task.done():
                    task.result()
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Stop serving."""
        for number in range(len(self.nodes)):
            await self.kill_router(number)
        for engine in self.engines + self.apps:
            engine.stop()
        await self.store.stop()
        for log in self._logs:
            log.close()

    async def configure(self, **changes) -> None:
        """Store a new version of the configuration."""
        self.version += 3
        config = {
            "version": self.version,
            "routes": [
                self._route("/digest/", "streaming", "pool", attempts=1),
                self._route("/task/", "streaming", "pool", resumable=True),
                self._route("/flip/", "unsafe", "app", attempts=1),
                self._route("/read/", "safe", "app"),
            ],
            "services": [
                {
                    "name": "pool",
                    "max_connections": 100,
                    "engine": {
                        "slots": 8,
                        "kv_capacity_tokens": 10**6,
                        "stride": STRIDE,
                    },
                },
                {"name": "app", "max_connections": 100},
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 100_000,
                "header_timeout_ms": 1_000,
                "idle_timeout_ms": 15_000,
            },
            "tenants": [
                {"name": "acme", "api_keys": [KEY], "prepaid": self.prepaid}
            ],
            **changes,
        }
        await self.store.put("config", "main", config)

    async def request(
        self, path: str, *, router=0, body=b"hello", key=KEY, **options
    ):
        """Send one request and return the status, headers and whole body."""
        reader, writer = await self.connect(router)
        try:
            writer.write(self.encode(path, body=body, key=key, **options))
            return await self.read_answer(reader)
        finally:
            writer.transport.abort()

    async def connect(self, router: int = 0):
        """Open a connection to a router."""
        host, port = self.settings[router].caller_address.split(":")
        return await asyncio.open_connection(host, int(port))

    def encode(
        self,
        path: str,
        *,
        method="POST",
        body=b"hello",
        key=KEY,
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

    async def read_answer(self, reader):
        """Return status, headers and body of one answer."""
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        status = int(first.split(" ")[1])
        if "content-length" in headers:
            body = await reader.readexactly(int(headers["content-length"]))
            return status, headers, body
        body = b""
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return status, headers, body
            body += piece[:-2]

    async def is_ready(self, address: str) -> bool:
        """Return whether a router says that it takes requests."""
        host, port = address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: a\r\n\r\n")
        status, _, _ = await self.read_answer(reader)
        writer.transport.abort()
        return status == 200

    async def addresses(self, router: int) -> list[str]:
        """Return the addresses that a router names to callers."""
        host, port = self.settings[router].directory_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(
                b"GET /-/resolve?name=site.example HTTP/1.1\r\n"
                b"Host: site.example\r\n\r\n"
            )
            _, _, body = await self.read_answer(reader)
            return json.loads(body)["addresses"]
        finally:
            writer.transport.abort()

    def events(self, name: str) -> list[dict]:
        """Return the log lines of one event, of all routers."""
        return [line for line in self.lines if line["event"] == name]

    def _route(
        self, prefix, kind, service, *, attempts=2, resumable=False
    ) -> dict:
        return {
            "name": "route" + prefix.replace("/", "-"),
            "host": "site.example",
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 3_000,
            "target_latency_ms": 300,
            "priority": 1,
            "service": service,
            "max_attempts": attempts,
            "public": False,
            "sticky": service == "pool",
            "resumable": resumable,
            "target_gap_ms": 300,
        }

    def _settings(self, number: int) -> node_settings.NodeSettings:
        def address() -> str:
            return f"127.0.0.1:{free_port()}"

        return node_settings.NodeSettings(
            node=f"node-{number}",
            data_centre="hall",
            capacity=1.0,
            caller_address=address(),
            readiness_address=address(),
            directory_address=address(),
            peer_address=address(),
            seed_addresses=tuple(
                found.peer_address for found in self.settings[:1]
            ),
            metrics_address=address(),
            platform_address=self.store.address,
            grace_s=8.0,
            address_ttl_s=5.0,
            retry_share=0.2,
            extra_retries=50,
            retry_window_s=10.0,
        )

    def _log(self, name: str) -> event_log.EventLog:
        reader, writer = os.pipe()

        def collect() -> None:
            with os.fdopen(reader, "rb") as lines:
                for line in lines:
                    self.lines.append(json.loads(line))

        threading.Thread(target=collect, daemon=True).start()
        log = event_log.EventLog(writer, node=name)
        self._logs.append(log)
        return log
