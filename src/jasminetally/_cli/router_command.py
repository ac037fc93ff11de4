"""Command ``router``: runs one router."""

from __future__ import annotations

import cleo.commands.command
import cleo.helpers


class RouterCommand(cleo.commands.command.Command):
    """Run one router until SIGTERM or SIGINT."""

    name = "router"
    description = "Run a router."
    arguments = [cleo.helpers.argument("settings", "Settings file (YAML)")]
    options = [
        cleo.helpers.option(
            "http-address",
            None,
            "Address for callers; replaces the one in the file; port 0 takes "
            "any free port",
            flag=False,
        ),
        cleo.helpers.option(
            "peer-address",
            None,
            "Address for other routers; replaces the one in the file; port 0 "
            "takes any free port",
            flag=False,
        ),
    ]
    help = """Once both addresses are bound, the first line on standard output
has the address for callers and the address for other routers.

Examples:
  jasminetally router entry-lj-1.yaml
  jasminetally router entry-lj-1.yaml --http-address 127.0.0.1:0

Exit codes: 0 after a drain, 1 if another process has taken over the instance,
2 if the settings are invalid or an address can't be bound."""

    def handle(self) -> int:
        """Run the router; return the exit code."""
        # Imported only when the router runs, so that listing or describing the
        # commands does not load the daemon's modules.
        from jasminetally._router import router_process

        return router_process.run_router(
            self.argument("settings"),
            router_process.AddressOverrides(
                self.option("http-address"), self.option("peer-address")
            ),
        )
