"""Calls to the platform and to engines that leases and orders need."""

from __future__ import annotations

from collections.abc import Callable
import time
from typing import TYPE_CHECKING

import msgspec
import urllib3

from jasminetally import _errors
from jasminetally._orders import engine_effects
from jasminetally._orders import engine_events
from jasminetally._orders import engine_reconciler
from jasminetally._orders import engine_report
from jasminetally._orders import lease_codec
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._shared import retry_after
from jasminetally._shared import whole_reply

if TYPE_CHECKING:
    from jasminetally._platform import port

ENGINE_CONNECT_TIMEOUT_S = 0.5
STATE_READ_TIMEOUT_S = 2.0

_OrderOutcome = engine_events.OrderOutcome
_WriteOutcome = lease_events.WriteOutcome


class OrderIo:
    """Carries out effects on leases and engines. Thread-safe.

    Replies of engines must state a length or come in chunks. An order whose
    reply does neither, or was cut, has an unknown outcome.

    Args:
        platform: Object API of the platform, which stores the leases.
        address_of: Returns the IP address and port of an engine; None if the
            configuration has no such engine.
        clock: Returns the monotonic time in seconds; the same clock as that of
            the events and ticks of the reconcilers.
    """

    def __init__(
        self,
        platform: port.PlatformPort,
        address_of: Callable[[str], str | None],
        *,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._platform = platform
        self._address_of = address_of
        self._clock = clock
        self._http = whole_reply.make_pool_manager(maxsize=2, retries=False)

    def perform(
        self, effect: engine_reconciler.Effect
    ) -> engine_reconciler.Event:
        """Carry out an effect and return the event in which it ends."""
        match effect:
            case lease_effects.ReadLease(engine):
                return self._read_lease(engine)
            case lease_effects.WriteLease():
                return self._write_lease(effect)
            case engine_effects.ReadEngine(engine):
                return self._read_engine(engine)
            case engine_effects.SendOrder():
                return self._send_order(effect)

    def close(self) -> None:
        """Close the connections to engines."""
        self._http.clear()

    def _read_lease(self, engine: str) -> lease_events.LeaseRead:
        try:
            entry = self._platform.get(lease_codec.LEASE_KEY_PREFIX + engine)
        except _errors.NotFoundError:
            return lease_events.LeaseRead(engine, None, 0)
        except _errors.PlatformError:
            return lease_events.LeaseRead(engine, None, 0, failed=True)
        lease = lease_codec.decode(entry.value or b"")
        return lease_events.LeaseRead(engine, lease, entry.version)

    def _write_lease(
        self, effect: lease_effects.WriteLease
    ) -> lease_events.LeaseWritten:
        key = lease_codec.LEASE_KEY_PREFIX + effect.engine
        value = lease_codec.encode(effect.lease)
        expected = effect.expected_version
        version, outcome = 0, _WriteOutcome.WRITTEN
        try:
            if expected:
                version = self._platform.update(
                    key, value, expected_version=expected
                )
            else:
                version = self._platform.create(key, value)
        except _errors.VersionConflictError:
            outcome = _WriteOutcome.CONFLICT
        except _errors.OutcomeUnknownError:
            outcome = _WriteOutcome.UNKNOWN
        except _errors.PlatformError:
            outcome = _WriteOutcome.NOT_APPLIED
        return lease_events.LeaseWritten(effect.engine, outcome, version)

    def _read_engine(self, engine: str) -> engine_events.EngineReported:
        state = None
        address = self._address_of(engine)
        if address is not None:
            try:
                response = self._http.request(
                    "GET",
                    f"http://{address}/v1/state",
                    timeout=urllib3.Timeout(
                        connect=ENGINE_CONNECT_TIMEOUT_S,
                        read=STATE_READ_TIMEOUT_S,
                    ),
                )
            except urllib3.exceptions.HTTPError:
                response = None
            if response is not None and response.status == 200:
                state = engine_report.decode(response.data)
        return engine_events.EngineReported(engine, state, fresh=True)

    def _send_order(
        self, effect: engine_effects.SendOrder
    ) -> engine_events.OrderEnded:
        address = self._address_of(effect.engine)
        if address is None or not effect.may_send(self._clock()):
            return engine_events.OrderEnded(
                effect.engine, _OrderOutcome.NOT_APPLIED
            )
        body = {
            "kind": effect.order.kind,
            "value": effect.order.value,
            "fencing": effect.fencing_number,
        }
        try:
            response = self._http.request(
                "POST",
                f"http://{address}/v1/orders",
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=urllib3.Timeout(
                    connect=ENGINE_CONNECT_TIMEOUT_S, total=effect.timeout_s
                ),
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return engine_events.OrderEnded(
                effect.engine, _OrderOutcome.NOT_APPLIED
            )
        except urllib3.exceptions.HTTPError:
            return engine_events.OrderEnded(
                effect.engine, _OrderOutcome.UNKNOWN
            )
        return _order_ended(effect.engine, response)


def _order_ended(
    engine: str, response: urllib3.BaseHTTPResponse
) -> engine_events.OrderEnded:
    match response.status:
        case 409:
            outcome = _OrderOutcome.REFUSED_FENCING
        case 429:
            return engine_events.OrderEnded(
                engine,
                _OrderOutcome.RATE_LIMITED,
                _parse_retry_after_s(response.headers.get("Retry-After")),
            )
        case status if status < 300:
            outcome = _OrderOutcome.ACCEPTED
        case 400 | 404 | 503:
            outcome = _OrderOutcome.NOT_APPLIED
        case _:
            outcome = _OrderOutcome.UNKNOWN
    return engine_events.OrderEnded(engine, outcome)


def _parse_retry_after_s(text: str | None) -> float:
    if text is None:
        return retry_after.DEFAULT_DELAY_S
    return retry_after.parse(text, time_of_day_s=time.time()).delay_s
