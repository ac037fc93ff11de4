"""Command ``bench``: runs one bench and prints its figures."""

from __future__ import annotations

import importlib

import cleo.commands.command
import cleo.helpers
import msgspec

from jasminetally._bench import bench_options

BENCH_NAMES = ("budget", "route", "relay", "control", "prepaid")


class BenchCommand(cleo.commands.command.Command):
    """Run one bench and print its figures as JSON."""

    name = "bench"
    description = "Run a bench and its baselines."
    arguments = [
        cleo.helpers.argument("bench", f"One of {', '.join(BENCH_NAMES)}")
    ]
    options = [
        cleo.helpers.option("seed", None, "Seed", flag=False, default="1"),
        cleo.helpers.option(
            "deployment",
            None,
            "Deployment to model: zadruga or pieghevole",
            flag=False,
            default="zadruga",
        ),
        cleo.helpers.option(
            "streams",
            None,
            "Number of open streams (relay bench only)",
            flag=False,
            default="150",
        ),
        cleo.helpers.option("json", None, "Print the JSON object on one line"),
    ]
    help = """Examples:
  jasminetally bench budget --deployment zadruga --seed 3 --json
  jasminetally bench route --seed 3 --json
  jasminetally bench relay --streams 150 --json
  jasminetally bench control --json
  jasminetally bench prepaid --seed 3 --json"""

    def handle(self) -> int:
        """Run the bench; return 0, or 2 if there is no such bench."""
        bench = self.argument("bench")
        if bench not in BENCH_NAMES:
            self.line_error(
                f"bench {bench!r} is unknown; expected one of "
                f"{', '.join(BENCH_NAMES)}"
            )
            return 2
        bench_module = importlib.import_module(
            f"jasminetally._bench.{bench}_bench"
        )
        result = bench_module.run(
            bench_options.BenchOptions(
                seed=int(self.option("seed")),
                deployment=self.option("deployment"),
                streams=int(self.option("streams")),
            )
        )
        result_json = msgspec.json.encode(result)
        if not self.option("json"):
            result_json = msgspec.json.format(result_json, indent=2)
        self.line(result_json.decode())
        return 0
