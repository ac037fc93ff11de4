"""Command ``demo``."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import cleo.commands.command
import msgspec
import urllib3

if TYPE_CHECKING:
    from jasminetally._router import embedded_deployment

BUDGET_TOKENS = 400
MAX_TOKENS_PER_REQUEST = 16
IDEMPOTENCY_KEY = "shift-note-17"
MAX_EXHAUST_REQUESTS = 40


class DemoCommand(cleo.commands.command.Command):
    """Run the embedded deployment and show what it guarantees."""

    name = "demo"
    description = "Run platform, engines, a service and two routers in one."
    help = """Prints a streamed answer, its bill, a retry with the same key at
the other router, and a refusal at the end of the budget.

Exit codes: 0 when everything held, 1 when something did not."""

    def handle(self) -> int:
        """Run the demo; return the exit code."""
        from jasminetally._observe import logs
        from jasminetally._router import embedded_deployment

        logs.configure_logging(log_format="readable", level="WARNING")
        with embedded_deployment.EmbeddedDeployment(
            tokens=BUDGET_TOKENS
        ) as deployed:
            demo = _Demo(deployed, self.line)
            held = [
                demo.stream(),
                demo.retry(),
                demo.call_service(),
                demo.exhaust(),
                demo.drain(),
            ]
        return 0 if all(held) else 1


class _Demo:
    """Steps of the demo; each returns whether it went as it should."""

    def __init__(
        self, deployed: embedded_deployment.EmbeddedDeployment, line: Any
    ) -> None:
        self._deployed = deployed
        self._line = line
        self._http = urllib3.PoolManager(retries=False, timeout=30.0)
        self._text = ""

    def stream(self) -> bool:
        """Stream an answer through the first router."""
        self._line("Streamed answer through router 1:")
        response = self._post(0, key=IDEMPOTENCY_KEY, stream=True)
        usage = {}
        for event in response.data.decode().split("\n\n"):
            if not event or event == "data: [DONE]":
                continue
            value = msgspec.json.decode(event.removeprefix("data: "))
            usage = value.get("usage") or usage
            for choice in value["choices"]:
                self._text += choice["delta"].get("content") or ""
        self._line(f"  {self._text.strip()}")
        self._line(f"  usage: {usage}")
        self._print_bill()
        return bool(self._text) and response.data.endswith(b"[DONE]\n\n")

    def retry(self) -> bool:
        """Send the same request to the second router."""
        before = self._settled()
        answer = msgspec.json.decode(self._post(1, key=IDEMPOTENCY_KEY).data)
        same = answer["choices"][0]["message"]["content"] == self._text
        once = self._settled() == before
        self._line(
            "Retry with the same key at router 2: "
            f"{'the same answer' if same else 'ANOTHER ANSWER'}, "
            f"billed {'once' if once else 'AGAIN'}"
        )
        return same and once

    def call_service(self) -> bool:
        """Call a plain service that must not run twice, and retry it."""
        headers = {
            **self._headers("task-4"),
            "Jasminetally-Repeatable": "false",
        }
        replies = [
            self._http.request(
                "POST",
                f"http://{router.http_address}/v1/services/board/tasks",
                body=b'{"room": 12, "task": "towels"}',
                headers=headers,
            )
            for router in self._deployed.routers
        ]
        runs = {msgspec.json.decode(reply.data)["run"] for reply in replies}
        self._line(f"Task sent through both routers: created {len(runs)} time")
        return runs == {1}

    def exhaust(self) -> bool:
        """Send requests until the budget is used up."""
        for number in range(MAX_EXHAUST_REQUESTS):
            response = self._post(number % 2)
            if response.status != 200:
                break
        error = msgspec.json.decode(response.data)["error"]
        self._line(
            f"Refused after {number} more requests: status {response.status}, "
            f"{error['code']}, {error['type']}"
        )
        return error["code"] == "budget_exhausted" and number > 0

    def drain(self) -> bool:
        """Drain both routers and show the final bill."""
        codes = self._deployed.drain()
        self._line(f"Routers drained with exit codes {codes}")
        self._print_bill()
        entry = self._entry()
        return (
            codes == [0, 0] and entry.settled + entry.unbilled <= BUDGET_TOKENS
        )

    def _post(
        self, router: int, *, key: str | None = None, stream: bool = False
    ) -> urllib3.BaseHTTPResponse:
        from jasminetally._router import embedded_config

        address = self._deployed.routers[router].http_address
        body = {
            "model": embedded_config.MODEL,
            "messages": [{"role": "user", "content": "Summarise room 12."}],
            "max_tokens": MAX_TOKENS_PER_REQUEST,
            "stream": stream,
        }
        return self._http.request(
            "POST",
            f"http://{address}/v1/chat/completions",
            body=msgspec.json.encode(body),
            headers=self._headers(key),
        )

    def _headers(self, key: str | None) -> dict[str, str]:
        from jasminetally._router import embedded_config

        headers = {
            "Authorization": f"Bearer {embedded_config.KEY}",
            "Jasminetally-Event": embedded_config.EVENT,
            "Content-Type": "application/json",
        }
        if key is not None:
            headers["Idempotency-Key"] = key
        return headers

    def _entry(self) -> Any:
        from jasminetally._ledger import record_codec
        from jasminetally._router import embedded_config

        found = self._deployed.platform.store.get(
            f"account/{embedded_config.CLIENT_ACCOUNT}"
        )
        return record_codec.decode(found.value).budgets["general"]

    def _settled(self) -> int:
        return self._entry().settled

    def _print_bill(self) -> None:
        entry = self._entry()
        held = sum(grant.tokens for grant in entry.grants.values())
        self._line(
            f"Bill: {entry.settled} tokens billed, {entry.unbilled} unbilled, "
            f"{entry.free} free, {held} granted to routers, of {BUDGET_TOKENS}"
        )
