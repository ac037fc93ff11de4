"""Command ``status``."""

from __future__ import annotations

import cleo.commands.command
import cleo.helpers
import msgspec

from jasminetally import _errors
from jasminetally._cli import exit_code
from jasminetally._cli import fleet_status
from jasminetally._cli import histogram_reader
from jasminetally._cli import platform_option
from jasminetally._cli import raw_output
from jasminetally._cli import status_reader
from jasminetally._platform import http_client

_ROUTER_COLUMNS = (
    "instance",
    "incarnation",
    "data_centre",
    "state",
    "listed",
    "revision",
    "http_address",
)
_BUDGET_COLUMNS = (
    "client_account",
    "budget",
    "paid_in",
    "credited",
    "settled",
    "unbilled",
    "held",
    "free",
)
_SUMMARY_COLUMNS = ("count", "p50", "p95", "p99", "highest")


class StatusCommand(cleo.commands.command.Command):
    """Print routers, revision and budgets."""

    name = "status"
    description = "Print routers, revision and budgets from the platform."
    options = [
        platform_option.make_option(),
        cleo.helpers.option(
            "account", None, "Only this client account", flag=False
        ),
        cleo.helpers.option(
            "histograms", None, "Also ask each router for its histograms"
        ),
        cleo.helpers.option("json", None, "Print one JSON object"),
    ]
    help = """Shows what the platform has stored. Tokens: paid in by the
manifest; credited to the account record; settled; unbilled (ran, not billed);
held by routers; free. Credited is always settled + unbilled + held + free. A
payment that no router has credited yet is in "paid in" only.

Examples:
  jasminetally status --platform 127.0.0.1:8070
  jasminetally status --account hotel-bled --json
  jasminetally status --histograms

Exit codes: 0 ok, 1 the platform could not be read, 2 wrong usage."""

    def __init__(
        self,
        make_client: platform_option.ClientFactory = http_client.HttpPlatform,
    ) -> None:
        super().__init__()
        self._make_client = make_client

    def handle(self) -> int:
        """Print the status; return the exit code."""
        try:
            platform = platform_option.make_platform_client(
                self.option("platform"), self._make_client
            )
            status = status_reader.read_status(
                platform, only_account=self.option("account")
            )
        except _errors.SettingsError as exc:
            raw_output.write_error_line(self, str(exc))
            return exit_code.ExitCode.INVALID_INPUT
        except _errors.JasminetallyError as exc:
            raw_output.write_error_line(self, f"status: {exc}")
            return exit_code.ExitCode.FAILED
        found = None
        if self.option("histograms"):
            found = histogram_reader.read_histograms(
                router["http_address"] for router in status["routers"]
            )
        if self.option("json"):
            more = {} if found is None else {"histograms": found}
            raw_output.write_line(
                self, msgspec.json.encode({**status, **more}).decode()
            )
        else:
            self._print(status)
            self._print_histograms(found or {})
        return exit_code.ExitCode.OK

    def _print(self, status: fleet_status.FleetStatus) -> None:
        by = f" by {status['applied_by']}" if status["applied_by"] else ""
        raw_output.write_line(self, f"revision {status['revision']}{by}")
        for columns, lines in (
            (_ROUTER_COLUMNS, status["routers"]),
            (_BUDGET_COLUMNS, status["budgets"]),
        ):
            rows = [
                [str(line[column] or "-") for column in columns]
                if columns is _ROUTER_COLUMNS
                else [str(line[column]) for column in columns]
                for line in lines
            ]
            raw_output.write_line(self, "")
            self.render_table([*columns], rows, style="compact")

    def _print_histograms(
        self, found: dict[str, histogram_reader.SummariesByAccount | None]
    ) -> None:
        for address, by_account in found.items():
            raw_output.write_line(self, "")
            if by_account is None:
                raw_output.write_line(self, f"router {address} did not answer")
                continue
            rows = [
                [account, tier, measure]
                + [str(summary[column]) for column in _SUMMARY_COLUMNS]
                for account, by_tier in by_account.items()
                for tier, by_measure in by_tier.items()
                for measure, summary in by_measure.items()
            ]
            columns = [address, "tier", "measure", *_SUMMARY_COLUMNS]
            self.render_table(columns, rows, style="compact")
