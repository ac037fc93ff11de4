"""Command ``router``."""

from __future__ import annotations

import signal
import threading

import cleo.commands.command
import cleo.helpers

from jasminetally import _errors


class RouterCommand(cleo.commands.command.Command):
    """Run one router until SIGTERM or SIGINT."""

    name = "router"
    description = "Run a router."
    arguments = [cleo.helpers.argument("settings", "Settings file (YAML)")]
    options = [
        cleo.helpers.option(
            "http-address",
            None,
            "Address for callers instead of the one in the file; port 0 for "
            "any",
            flag=False,
        ),
        cleo.helpers.option(
            "peer-address",
            None,
            "Address for routers instead of the one in the file; port 0 for "
            "any",
            flag=False,
        ),
    ]
    help = """The first line on standard output has the address for callers and
the one for routers, once both are bound.

Examples:
  jasminetally router entry-lj-1.yaml
  jasminetally router entry-lj-1.yaml --http-address 127.0.0.1:0

Exit codes: 0 after a drain, 1 when another process has taken the instance
over, 2 on invalid settings or an address that can't be bound."""

    def handle(self) -> int:
        """Run the router; return the exit code."""
        # A daemon's own modules are loaded only when it runs.
        from jasminetally._observe import logs
        from jasminetally._router import router_daemon
        from jasminetally._settings import settings_file

        try:
            settings = settings_file.load_router(self.argument("settings"))
        except _errors.SettingsError as exc:
            self.line_error(str(exc))
            return 2
        settings = settings._replace(
            http_address=self.option("http-address") or settings.http_address,
            peer_address=self.option("peer-address") or settings.peer_address,
        )
        logs.configure(log_format=settings.log_format)
        try:
            router = router_daemon.RouterDaemon(settings)
            router.bind()
        except OSError as exc:
            self.line_error(f"an address of this router can't be bound: {exc}")
            return 2
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: router.terminate())
        print(router.http_address, router.peer_address, flush=True)
        threading.Thread(target=router.start, daemon=True).start()
        code = router.wait()
        router.stop()
        return code
