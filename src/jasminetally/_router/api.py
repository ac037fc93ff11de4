"""Routes of the caller interface."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._router import chat_handler
from jasminetally._router import request_job
from jasminetally._router import service_handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._router import exchange
    from jasminetally._router import router_parts

BUSY_RETRY_S = 0.5


class Api:
    """Pass each exchange to its handler.

    Args:
        parts: Parts of the router.
        in_flight_limit: Requests served at the same time.
    """

    def __init__(
        self, parts: router_parts.RouterParts, *, in_flight_limit: int
    ) -> None:
        self._parts = parts
        self._in_flight_limit = in_flight_limit
        self._lock = threading.Lock()
        self._in_flight = 0
        self._chat = chat_handler.ChatHandler(parts)
        self._service = service_handler.ServiceHandler(parts)

    @property
    def in_flight(self) -> int:
        """Requests that have been accepted and not answered yet."""
        return self._in_flight

    def handle(self, exch: exchange.Exchange) -> None:
        """Answer one exchange.

        Raises:
            CallerError: The request is not accepted or has failed.
        """
        match (exch.method, exch.path):
            case ("POST", "/v1/chat/completions"):
                self._serve(exch, self._chat.handle)
            case ("POST", path) if path.startswith(service_handler.PREFIX):
                self._serve(exch, self._service.handle)
            case ("GET", "/v1/addresses"):
                self._send_addresses(exch)
            case ("GET", "/v1/status"):
                exch.send_json(200, self._status())
            case ("GET", "/v1/histograms"):
                exch.send_json(200, self._parts.histograms.summaries())
            case (_, path):
                raise _no_route(exch.method, path)

    def _serve(self, exch: exchange.Exchange, handler: Callable) -> None:
        with self._lock:
            if self._in_flight >= self._in_flight_limit:
                raise _errors.NotRunError(
                    f"{self._in_flight} requests are in flight here",
                    status=503,
                    code="router_busy",
                    retry_after_s=BUSY_RETRY_S,
                )
            self._in_flight += 1
        try:
            known = self._parts.fleet
            if known.draining.is_set() or not known.serving.is_set():
                raise request_job.not_serving(known)
            handler(exch)
        except _errors.CallerError as exc:
            self._parts.metrics.increment_counter(
                f"requests.refused.{exc.code}"
            )
            raise
        finally:
            with self._lock:
                self._in_flight -= 1

    def _send_addresses(self, exch: exchange.Exchange) -> None:
        found = self._parts.fleet.addresses
        if not found.addresses:
            raise request_job.not_serving(self._parts.fleet)
        exch.send_json(
            200, {"addresses": found.addresses, "max_age_s": found.max_age_s}
        )

    def _status(self) -> dict[str, object]:
        known = self._parts.fleet
        return {
            "instance": known.instance,
            "incarnation": known.incarnation,
            "data_centre": known.data_centre,
            "state": known.state,
            "revision": known.revision,
            "in_flight": self._in_flight,
            "open_streams": self._parts.relay.open_streams,
            "peers": {
                status.incarnation: {
                    "state": status.state.value,
                    "revision": status.revision,
                    "reachable": status.incarnation in known.reachable,
                }
                for status in known.peers.values()
            },
            "deaths": sorted(known.deaths),
        }


def _no_route(method: str, path: str) -> _errors.CallerError:
    known = {
        "/v1/chat/completions": "POST",
        "/v1/addresses": "GET",
        "/v1/status": "GET",
        "/v1/histograms": "GET",
    }
    if path in known or path.startswith(service_handler.PREFIX):
        return _errors.CallerError(
            f"{method} is not accepted here; use {known.get(path, 'POST')}",
            status=405,
            code="method_not_allowed",
        )
    return _errors.CallerError(
        f"there is no {path[:80]!r}", status=404, code="unknown_path"
    )
