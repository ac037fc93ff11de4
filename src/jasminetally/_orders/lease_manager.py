"""Acquisition, renewal and release of one lease."""

from __future__ import annotations

from jasminetally._orders import lease as lease_module
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._orders import order_policy

Effect = lease_effects.ReadLease | lease_effects.WriteLease

_Outcome = lease_events.WriteOutcome


class LeaseManager:
    """Takes a lease while it is wanted and gives it back afterwards.

    The holder counts its lease from the start of its write, a candidate from
    the first read that showed the version, so the candidate's count always
    ends later. One call is open at a time.

    Attributes:
        wanted: Whether the lease is to be held.
        fencing: Version of the object while it is held.
        valid_until_s: Monotonic end of the lease.
        expired_s: When the lease of another router ended that was taken over
            without a release; None if it was released or there was none.
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
        self._foreign_version: tuple[int, float] | None = None
        self._foreign_expiry_s: float | None = None

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease is held and has not ended."""
        return self._holding and now_s < self.valid_until_s

    @property
    def is_released(self) -> bool:
        """Whether nothing is left to give back."""
        return (
            not self._holding
            and self._unknown_write_s is None
            and self._pending_call is None
        )

    def tick(self, now_s: float) -> list[Effect]:
        """Return the call that is due, if any."""
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
        """Take the result of a read."""
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
        """Take the outcome of a write."""
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
            # A write without a reply has taken effect.
            self._set_held(version, self._unknown_write_s, now_s)
            return []
        if not self.wanted:
            self._unknown_write_s = None
            return self._write_lease("", version, now_s)
        # The unknown renewal is still to come or is lost, or the lease ended
        # during a pause and nobody has taken it.
        return self._write_lease(self._incarnation, version, now_s)

    def _on_foreign_lease(self, version: int, now_s: float) -> list[Effect]:
        if self._foreign_version is None or self._foreign_version[0] != version:
            self._foreign_version = (version, now_s)
        expires_s = self._foreign_version[1] + self._policy.lease_duration_s
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
        self._foreign_version = None
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
