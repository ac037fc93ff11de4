"""Command ``status``: prints the status of the fleet."""

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
_HISTOGRAM_COLUMNS = ("count", "p50", "p95", "p99", "highest")


class StatusCommand(cleo.commands.command.Command):
    """Print the recorded revision, the routers and the budgets."""

    name = "status"
    description = (
        "Print the revision, routers and budgets that the platform has."
    )
    options = [
        platform_option.make_option(),
        cleo.helpers.option(
            "account",
            None,
            "Print the budgets of this client account only",
            flag=False,
        ),
        cleo.helpers.option(
            "histograms", None, "Also print the histograms of each router"
        ),
        cleo.helpers.option("json", None, "Print one JSON object"),
    ]
    help = """Prints what the platform has stored. Budgets are counted in
tokens: paid in by the manifest; credited to the account record; settled
(billed); unbilled (ran, not billed); held by routers; free. Credited is always
settled + unbilled + held + free. A payment that no router has credited yet is
in paid_in only.

Examples:
  jasminetally status --platform 127.0.0.1:8070
  jasminetally status --account hotel-bled --json
  jasminetally status --histograms

Exit codes: 0 printed, 1 the platform could not be read, 2 wrong usage."""

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
            raw_output.write_error_line(self, f"status cannot be read: {exc}")
            return exit_code.ExitCode.FAILED
        histograms = None
        if self.option("histograms"):
            histograms = histogram_reader.read_histograms(
                router["http_address"] for router in status["routers"]
            )
        if self.option("json"):
            extra = {} if histograms is None else {"histograms": histograms}
            raw_output.write_line(
                self, msgspec.json.encode({**status, **extra}).decode()
            )
        else:
            self._print_status(status)
            self._print_histograms(histograms or {})
        return exit_code.ExitCode.OK

    def _print_status(self, status: fleet_status.FleetStatus) -> None:
        author = f" by {status['applied_by']}" if status["applied_by"] else ""
        raw_output.write_line(self, f"revision {status['revision']}{author}")
        for columns, rows in (
            (_ROUTER_COLUMNS, status["routers"]),
            (_BUDGET_COLUMNS, status["budgets"]),
        ):
            cells = [
                [str(row[column] or "-") for column in columns]
                if columns is _ROUTER_COLUMNS
                else [str(row[column]) for column in columns]
                for row in rows
            ]
            raw_output.write_line(self, "")
            self.render_table([*columns], cells, style="compact")

    def _print_histograms(
        self, histograms: dict[str, histogram_reader.SummariesByAccount | None]
    ) -> None:
        for address, by_account in histograms.items():
            raw_output.write_line(self, "")
            if by_account is None:
                raw_output.write_line(
                    self, f"router {address}: histograms could not be read"
                )
                continue
            cells = [
                [account, tier, measure]
                + [str(summary[column]) for column in _HISTOGRAM_COLUMNS]
                for account, by_tier in by_account.items()
                for tier, by_measure in by_tier.items()
                for measure, summary in by_measure.items()
            ]
            columns = [address, "tier", "measure", *_HISTOGRAM_COLUMNS]
            self.render_table(columns, cells, style="compact")
