"""Command ``standin``: runs one stand-in for a part outside the fleet."""

from __future__ import annotations

import signal
import threading
from typing import TYPE_CHECKING

import cleo.commands.command
import cleo.helpers

if TYPE_CHECKING:
    from jasminetally._standin import engine_server
    from jasminetally._standin import platform_server
    from jasminetally._standin import service_server

    Standin = (
        platform_server.PlatformServer
        | engine_server.EngineServer
        | service_server.ServiceServer
    )

STANDIN_KINDS = ("platform", "engine", "service")


class StandinCommand(cleo.commands.command.Command):
    """Run one stand-in until SIGTERM or SIGINT."""

    name = "standin"
    description = "Run a stand-in for the platform, an engine or a service."
    arguments = [
        cleo.helpers.argument("kind", f"One of {', '.join(STANDIN_KINDS)}")
    ]
    options = [
        cleo.helpers.option(
            "host", None, "IP address to bind", flag=False, default="127.0.0.1"
        ),
        cleo.helpers.option(
            "port",
            None,
            "TCP port; 0 takes any free port",
            flag=False,
            default="0",
        ),
        cleo.helpers.option(
            "name",
            None,
            "Name of the backend server; default: the kind",
            flag=False,
            default="",
        ),
        cleo.helpers.option(
            "threads",
            None,
            "Worker threads (engine only)",
            flag=False,
            default="64",
        ),
    ]
    help = """The first line on standard output is the bound address.

Examples:
  jasminetally standin platform --port 7000
  jasminetally standin engine --name engine-1 --port 7101
  jasminetally standin service --name board --port 7201

Exit codes: 0 after SIGTERM or SIGINT, 2 if the kind is unknown."""

    def handle(self) -> int:
        """Run the stand-in; return the exit code."""
        kind = self.argument("kind")
        if kind not in STANDIN_KINDS:
            self.line_error(
                f"kind {kind!r} is unknown; expected one of "
                f"{', '.join(STANDIN_KINDS)}"
            )
            return 2
        stop_requested = threading.Event()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: stop_requested.set())
        standin = self._make_standin(kind)
        standin.start()
        print(standin.address, flush=True)
        stop_requested.wait()
        standin.stop()
        return 0

    def _make_standin(self, kind: str) -> Standin:
        host = self.option("host")
        port = int(self.option("port"))
        name = self.option("name") or kind
        match kind:
            case "platform":
                from jasminetally._standin import platform_server

                return platform_server.PlatformServer(host=host, port=port)
            case "engine":
                from jasminetally._standin import engine_server

                return engine_server.EngineServer(
                    name=name,
                    host=host,
                    port=port,
                    threads=int(self.option("threads")),
                )
            case _:
                from jasminetally._standin import service_server

                return service_server.ServiceServer(
                    name=name, host=host, port=port
                )
