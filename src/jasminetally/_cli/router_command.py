"""Command ``router``."""

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
        from jasminetally._router import router_process

        return router_process.run(
            self.argument("settings"),
            router_process.AddressOverrides(
                self.option("http-address"), self.option("peer-address")
            ),
        )
