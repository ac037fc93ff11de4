"""Acquisition, renewal and release of the lease of one engine."""

from __future__ import annotations

from jasminetally._orders import lease as lease_module
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._orders import order_policy

Effect = lease_effects.ReadLease | lease_effects.WriteLease

_Outcome = lease_events.WriteOutcome


class LeaseManager:
    """Acquires and renews a lease while it is wanted, then releases it.

    The holder measures the duration of its lease from the start of the write
    that acquired or renewed it; other routers measure it from the end of their
    first read of that version. Therefore the lease always ends for the holder
    before another router takes it over, although clocks are never compared. At
    most one read or write is pending at a time.

    Args:
        engine: Name of the engine.
        incarnation: Incarnation of this router.
        policy: Duration and intervals of leases.

    Attributes:
        wanted: Whether this router should hold the lease.
        fencing_number: Version of the lease object when the lease was last
            acquired or renewed.
        valid_until_s: Monotonic time in seconds at which the lease ends.
        predecessor_expired_s: Monotonic time in seconds at which the lease of
            the previous holder expired; None if the previous holder released
            it or there was none.
    """

    def __init__(
        self, *, engine: str, incarnation: str, policy: order_policy.OrderPolicy
    ) -> None:
        self.wanted = False
        self.fencing_number = 0
        self.valid_until_s = 0.0
        self.predecessor_expired_s: float | None = None
        self._engine = engine
        self._incarnation = incarnation
        self._policy = policy
        self._holding = False
        self._pending_call: Effect | None = None
        self._write_started_s = 0.0
        self._renewed_s = 0.0
        self._next_call_s = 0.0
        # Start of the earliest write whose outcome is unknown.
        self._unknown_write_s: float | None = None
        # Version of another router's lease, and the time of the first read
        # that returned this version.
        self._foreign_lease: tuple[int, float] | None = None
        # Becomes predecessor_expired_s once the lease is acquired.
        self._foreign_expiry_s: float | None = None

    def is_held(self, now_s: float) -> bool:
        """Return whether this router holds the lease and it is still valid."""
        return self._holding and now_s < self.valid_until_s

    @property
    def is_released(self) -> bool:
        """Whether no lease is or may be held and no call is pending."""
        return (
            not self._holding
            and self._unknown_write_s is None
            and self._pending_call is None
        )

    def tick(self, now_s: float) -> list[Effect]:
        """Start the read or write that is due, if any.

        Args:
            now_s: Monotonic time in seconds.

        Returns:
            At most one effect to carry out.
        """
        if self._holding and now_s >= self.valid_until_s:
            self._set_lost()
        if self._pending_call is not None or now_s < self._next_call_s:
            return []
        if not self._holding or self._unknown_write_s is not None:
            if self.wanted or self._unknown_write_s is not None:
                return self._read_lease()
            return []
        if not self.wanted:
            return self._write_lease("", self.fencing_number, now_s)
        if now_s >= self._renewed_s + self._policy.renew_interval_s:
            return self._write_lease(
                self._incarnation, self.fencing_number, now_s
            )
        return []

    def on_read(
        self, event: lease_events.LeaseRead, now_s: float
    ) -> list[Effect]:
        """Process the result of a read of the lease object.

        Args:
            event: Result of the read.
            now_s: Monotonic time in seconds.

        Returns:
            The write that follows, if any.
        """
        self._pending_call = None
        if event.failed:
            self._next_call_s = now_s + self._policy.retry_interval_s
            return []
        holder = event.lease.holder if event.lease else ""
        if holder == self._incarnation:
            return self._on_own_lease(event.version, now_s)
        self._set_lost()
        if not self.wanted:
            self._unknown_write_s = None
            return []
        if not holder:
            self._foreign_expiry_s = None
            return self._write_lease(self._incarnation, event.version, now_s)
        return self._on_foreign_lease(event.version, now_s)

    def on_written(
        self, event: lease_events.LeaseWritten, now_s: float
    ) -> list[Effect]:
        """Process the outcome of a write of the lease object.

        Args:
            event: Outcome of the write.
            now_s: Monotonic time in seconds.

        Returns:
            No effects; the next tick starts the call that is due.
        """
        call, self._pending_call = self._pending_call, None
        if not isinstance(call, lease_effects.WriteLease):
            return []
        released = not call.lease.holder
        match event.outcome:
            case _Outcome.WRITTEN if released:
                self._set_lost()
                self._unknown_write_s = None
            case _Outcome.WRITTEN:
                self._set_held(event.version, self._write_started_s, now_s)
            case _Outcome.CONFLICT:
                self._set_lost()
            case _Outcome.NOT_APPLIED:
                self._next_call_s = now_s + self._policy.retry_interval_s
            case _Outcome.UNKNOWN:
                if released:
                    self._set_lost()
                if self._unknown_write_s is None:
                    self._unknown_write_s = self._write_started_s
        return []

    def _on_own_lease(self, version: int, now_s: float) -> list[Effect]:
        if self._unknown_write_s is not None and version > self.fencing_number:
            # A write with an unknown outcome has taken effect. It may have
            # been any of them, so the lease is valid from the earliest start.
            self._set_held(version, self._unknown_write_s, now_s)
            return []
        if not self.wanted:
            self._unknown_write_s = None
            return self._write_lease("", version, now_s)
        # Either the write with an unknown outcome has had no effect so far, or
        # the lease ended while this process was paused and no other router has
        # taken it over.
        return self._write_lease(self._incarnation, version, now_s)

    def _on_foreign_lease(self, version: int, now_s: float) -> list[Effect]:
        if self._foreign_lease is None or self._foreign_lease[0] != version:
            self._foreign_lease = (version, now_s)
        expires_s = self._foreign_lease[1] + self._policy.lease_duration_s
        if now_s < expires_s:
            self._next_call_s = min(
                expires_s, now_s + self._policy.renew_interval_s
            )
            return []
        self._foreign_expiry_s = expires_s
        return self._write_lease(self._incarnation, version, now_s)

    def _set_held(self, version: int, started_s: float, now_s: float) -> None:
        if not self._holding:
            self.predecessor_expired_s = self._foreign_expiry_s
        self.fencing_number = version
        self.valid_until_s = started_s + self._policy.lease_duration_s
        self._renewed_s = started_s
        self._unknown_write_s = None
        self._foreign_lease = None
        self._holding = now_s < self.valid_until_s

    def _set_lost(self) -> None:
        self._holding = False

    def _read_lease(self) -> list[Effect]:
        self._pending_call = lease_effects.ReadLease(self._engine)
        return [self._pending_call]

    def _write_lease(
        self, holder: str, version: int, now_s: float
    ) -> list[Effect]:
        self._write_started_s = now_s
        self._pending_call = lease_effects.WriteLease(
            self._engine, lease_module.Lease(holder), version
        )
        return [self._pending_call]
