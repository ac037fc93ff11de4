"""Command ``demo``: shows the guarantees in an embedded deployment."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import cleo.commands.command
import msgspec

from jasminetally._shared import whole_reply

if TYPE_CHECKING:
    import urllib3

    from jasminetally._router import embedded_deployment

# Tokens paid into the budget of the demo's client account.
BUDGET_TOKENS = 400
MAX_TOKENS_PER_REQUEST = 16
IDEMPOTENCY_KEY = "shift-note-17"
# Limit on the requests that are sent to use up the budget.
MAX_EXHAUST_REQUESTS = 40


class DemoCommand(cleo.commands.command.Command):
    """Run the embedded deployment and check what it guarantees."""

    name = "demo"
    description = (
        "Run a platform, engines, a service and two routers in one process."
    )
    help = """Streams an answer and prints its bill, repeats the request with
the same key at the other router, sends a task that must run only once through
both routers, sends requests until the budget is exhausted, and drains the
routers.

Exit codes: 0 if every step passed its checks, 1 if one did not."""

    def handle(self) -> int:
        """Run the demo; return the exit code."""
        from jasminetally._observe import logs
        from jasminetally._router import embedded_deployment

        logs.configure_logging(log_format="readable", level="WARNING")
        with embedded_deployment.EmbeddedDeployment(
            tokens=BUDGET_TOKENS
        ) as deployed:
            demo = _Demo(deployed, self.line)
            passed = [
                demo.stream_answer(),
                demo.retry_request(),
                demo.call_service(),
                demo.exhaust_budget(),
                demo.drain_routers(),
            ]
        return 0 if all(passed) else 1


class _Demo:
    """Steps of the demo; each returns whether its checks passed.

    Args:
        deployed: Running deployment with two routers.
        write_line: Prints one line to the operator.
    """

    def __init__(
        self, deployed: embedded_deployment.EmbeddedDeployment, write_line: Any
    ) -> None:
        self._deployed = deployed
        self._write_line = write_line
        self._http = whole_reply.make_pool_manager(retries=False, timeout=30.0)
        self._answer_text = ""

    def stream_answer(self) -> bool:
        """Stream an answer through the first router."""
        self._write_line("Streamed answer through router 1:")
        response = self._post_chat_request(0, key=IDEMPOTENCY_KEY, stream=True)
        usage = {}
        for event in response.data.decode().split("\n\n"):
            if not event or event == "data: [DONE]":
                continue
            value = msgspec.json.decode(event.removeprefix("data: "))
            usage = value.get("usage") or usage
            for choice in value["choices"]:
                self._answer_text += choice["delta"].get("content") or ""
        self._write_line(f"  {self._answer_text.strip()}")
        self._write_line(f"  usage: {usage}")
        self._print_bill()
        return bool(self._answer_text) and response.data.endswith(b"[DONE]\n\n")

    def retry_request(self) -> bool:
        """Repeat the request with the same key at the second router."""
        settled_before = self._read_settled_tokens()
        answer = msgspec.json.decode(
            self._post_chat_request(1, key=IDEMPOTENCY_KEY).data
        )
        same_answer = (
            answer["choices"][0]["message"]["content"] == self._answer_text
        )
        billed_once = self._read_settled_tokens() == settled_before
        self._write_line(
            "Retry with the same key at router 2: "
            f"{'the same answer' if same_answer else 'A DIFFERENT ANSWER'}, "
            f"billed {'once' if billed_once else 'AGAIN'}"
        )
        return same_answer and billed_once

    def call_service(self) -> bool:
        """Send one non-repeatable task with the same key to both routers."""
        headers = {
            **self._make_headers("task-4"),
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
        self._write_line(
            f"Task sent through both routers: ran {len(runs)} time(s)"
        )
        return runs == {1}

    def exhaust_budget(self) -> bool:
        """Send requests until one is refused; expect an exhausted budget."""
        for sent in range(MAX_EXHAUST_REQUESTS):
            response = self._post_chat_request(sent % 2)
            if response.status != 200:
                break
        error = msgspec.json.decode(response.data)["error"]
        self._write_line(
            f"Refused after {sent} more requests: status {response.status}, "
            f"{error['code']}, {error['type']}"
        )
        return error["code"] == "budget_exhausted" and sent > 0

    def drain_routers(self) -> bool:
        """Drain both routers and print the final bill."""
        codes = self._deployed.drain()
        self._write_line(f"Routers drained with exit codes {codes}")
        self._print_bill()
        entry = self._read_budget_entry()
        return (
            codes == [0, 0] and entry.settled + entry.unbilled <= BUDGET_TOKENS
        )

    def _post_chat_request(
        self, router_index: int, *, key: str | None = None, stream: bool = False
    ) -> urllib3.BaseHTTPResponse:
        from jasminetally._router import embedded_config

        address = self._deployed.routers[router_index].http_address
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
            headers=self._make_headers(key),
        )

    def _make_headers(self, key: str | None) -> dict[str, str]:
        from jasminetally._router import embedded_config

        headers = {
            "Authorization": f"Bearer {embedded_config.API_KEY}",
            "Jasminetally-Event": embedded_config.EVENT,
            "Content-Type": "application/json",
        }
        if key is not None:
            headers["Idempotency-Key"] = key
        return headers

    def _read_budget_entry(self) -> Any:
        from jasminetally._ledger import record_codec
        from jasminetally._router import embedded_config

        account_object = self._deployed.platform.store.get(
            f"account/{embedded_config.CLIENT_ACCOUNT}"
        )
        return record_codec.decode(account_object.value).budgets["general"]

    def _read_settled_tokens(self) -> int:
        return self._read_budget_entry().settled

    def _print_bill(self) -> None:
        entry = self._read_budget_entry()
        granted = sum(grant.tokens for grant in entry.grants.values())
        self._write_line(
            f"Bill: {entry.settled} tokens billed, {entry.unbilled} unbilled, "
            f"{entry.free} free, {granted} granted to routers, "
            f"of {BUDGET_TOKENS}"
        )
