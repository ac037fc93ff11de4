"""Routes of the HTTP interface for callers."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._router import accepted_request
from jasminetally._router import chat_handler
from jasminetally._router import service_handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from jasminetally._router import exchange
    from jasminetally._router import router_components

BUSY_RETRY_AFTER_S = 0.5


class Api:
    """Pass each HTTP exchange to the handler of its route.

    Args:
        components: Components of the router.
        in_flight_limit: Largest number of requests served at the same time.
    """

    def __init__(
        self,
        components: router_components.RouterComponents,
        *,
        in_flight_limit: int,
    ) -> None:
        self._components = components
        self._in_flight_limit = in_flight_limit
        self._lock = threading.Lock()
        self._in_flight = 0
        self._chat = chat_handler.ChatHandler(components)
        self._service = service_handler.ServiceHandler(components)

    @property
    def in_flight(self) -> int:
        """Number of requests that are accepted and not answered yet."""
        return self._in_flight

    def handle(self, exch: exchange.Exchange) -> None:
        """Answer one HTTP exchange.

        Raises:
            CallerError: The request is refused or has failed.
        """
        match (exch.method, exch.path):
            case ("POST", "/v1/chat/completions"):
                self._serve_request(exch, self._chat.handle)
            case ("POST", path) if path.startswith(
                service_handler.SERVICE_PATH_PREFIX
            ):
                self._serve_request(exch, self._service.handle)
            case ("GET", "/v1/addresses"):
                self._send_addresses(exch)
            case ("GET", "/v1/status"):
                exch.send_json(200, self._router_status())
            case ("GET", "/v1/histograms"):
                exch.send_json(200, self._components.histograms.summaries())
            case (_, path):
                raise _route_error(exch.method, path)

    def _serve_request(
        self, exch: exchange.Exchange, handler: Callable
    ) -> None:
        with self._lock:
            if self._in_flight >= self._in_flight_limit:
                raise _errors.NotRunError(
                    f"this router has {self._in_flight} requests in flight, "
                    "which is its limit",
                    status=503,
                    code="router_busy",
                    retry_after_s=BUSY_RETRY_AFTER_S,
                )
            self._in_flight += 1
        try:
            fleet = self._components.fleet
            if fleet.draining.is_set() or not fleet.serving.is_set():
                raise accepted_request.not_serving(fleet)
            handler(exch)
        except _errors.CallerError as exc:
            self._components.metrics.increment_counter(
                f"requests.refused.{exc.code}"
            )
            raise
        finally:
            with self._lock:
                self._in_flight -= 1

    def _send_addresses(self, exch: exchange.Exchange) -> None:
        addresses = self._components.fleet.addresses
        if not addresses.addresses:
            raise accepted_request.not_serving(self._components.fleet)
        exch.send_json(
            200,
            {
                "addresses": addresses.addresses,
                "max_age_s": addresses.max_age_s,
            },
        )

    def _router_status(self) -> dict[str, object]:
        fleet = self._components.fleet
        return {
            "instance": fleet.instance,
            "incarnation": fleet.incarnation,
            "data_centre": fleet.data_centre,
            "state": fleet.state,
            "revision": fleet.revision,
            "in_flight": self._in_flight,
            "open_streams": self._components.relay.open_streams,
            "peers": {
                status.incarnation: {
                    "state": status.state.value,
                    "revision": status.revision,
                    "reachable": status.incarnation in fleet.reachable,
                }
                for status in fleet.peers.values()
            },
            "deaths": sorted(fleet.deaths),
        }


def _route_error(method: str, path: str) -> _errors.CallerError:
    methods = {
        "/v1/chat/completions": "POST",
        "/v1/addresses": "GET",
        "/v1/status": "GET",
        "/v1/histograms": "GET",
    }
    if path in methods or path.startswith(service_handler.SERVICE_PATH_PREFIX):
        return _errors.CallerError(
            f"method {method} is not accepted for this path; use "
            f"{methods.get(path, 'POST')}",
            status=405,
            code="method_not_allowed",
        )
    return _errors.CallerError(
        f"path {path[:80]!r} does not exist", status=404, code="unknown_path"
    )
