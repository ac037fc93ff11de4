"""Acquisition, renewal and release of one lease."""

from __future__ import annotations

from jasminetally._orders import lease as lease_module
from jasminetally._orders import lease_effects
from jasminetally._orders import lease_events
from jasminetally._orders import order_policy

Effect = lease_effects.ReadLease | lease_effects.WriteLease

_Outcome = lease_events.WriteOutcome


class LeaseKeeper:
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
        self.fencing = 0
        self.valid_until_s = 0.0
        self.expired_s: float | None = None
        self._engine = engine
        self._incarnation = incarnation
        self._policy = policy
        self._holding = False
        self._call: Effect | None = None
        self._sent_s = 0.0
        self._renewed_s = 0.0
        self._next_s = 0.0
        # Start of the earliest write whose outcome is unknown.
        self._unresolved_s: float | None = None
        self._observed: tuple[int, float] | None = None
        self._expired_before_s: float | None = None

    def is_held(self, now_s: float) -> bool:
        """Return whether the lease is held and has not ended."""
        return self._holding and now_s < self.valid_until_s

    @property
    def is_released(self) -> bool:
        """Whether nothing is left to give back."""
        return (
            not self._holding
            and self._unresolved_s is None
            and self._call is None
        )

    def tick(self, now_s: float) -> list[Effect]:
        """Return the call that is due, if any."""
        if self._holding and now_s >= self.valid_until_s:
            self._lose()
        if self._call is not None or now_s < self._next_s:
            return []
        if not self._holding or self._unresolved_s is not None:
            if self.wanted or self._unresolved_s is not None:
                return self._read()
            return []
        if not self.wanted:
            return self._write("", self.fencing, now_s)
        if now_s >= self._renewed_s + self._policy.renew_s:
            return self._write(self._incarnation, self.fencing, now_s)
        return []

    def on_read(
        self, event: lease_events.LeaseRead, now_s: float
    ) -> list[Effect]:
        """Take the result of a read."""
        self._call = None
        if event.failed:
            self._next_s = now_s + self._policy.retry_s
            return []
        holder = event.lease.holder if event.lease else ""
        if holder == self._incarnation:
            return self._on_own(event.version, now_s)
        self._lose()
        if not self.wanted:
            self._unresolved_s = None
            return []
        if not holder:
            self._expired_before_s = None
            return self._write(self._incarnation, event.version, now_s)
        return self._observe(event.version, now_s)

    def on_written(
        self, event: lease_events.LeaseWritten, now_s: float
    ) -> list[Effect]:
        """Take the outcome of a write."""
        call, self._call = self._call, None
        if not isinstance(call, lease_effects.WriteLease):
            return []
        released = not call.lease.holder
        match event.outcome:
            case _Outcome.WRITTEN if released:
                self._lose()
                self._unresolved_s = None
            case _Outcome.WRITTEN:
                self._hold(event.version, self._sent_s, now_s)
            case _Outcome.CONFLICT:
                self._lose()
            case _Outcome.NOT_APPLIED:
                self._next_s = now_s + self._policy.retry_s
            case _Outcome.UNKNOWN:
                if released:
                    self._lose()
                if self._unresolved_s is None:
                    self._unresolved_s = self._sent_s
        return []

    def _on_own(self, version: int, now_s: float) -> list[Effect]:
        if self._unresolved_s is not None and version > self.fencing:
            # A write without a reply has taken effect.
            self._hold(version, self._unresolved_s, now_s)
            return []
        if not self.wanted:
            self._unresolved_s = None
            return self._write("", version, now_s)
        # The unknown renewal is still to come or is lost, or the lease ended
        # during a pause and nobody has taken it.
        return self._write(self._incarnation, version, now_s)

    def _observe(self, version: int, now_s: float) -> list[Effect]:
        if self._observed is None or self._observed[0] != version:
            self._observed = (version, now_s)
        expires_s = self._observed[1] + self._policy.lease_s
        if now_s < expires_s:
            self._next_s = min(expires_s, now_s + self._policy.renew_s)
            return []
        self._expired_before_s = expires_s
        return self._write(self._incarnation, version, now_s)

    def _hold(self, version: int, sent_s: float, now_s: float) -> None:
        if not self._holding:
            self.expired_s = self._expired_before_s
        self.fencing = version
        self.valid_until_s = sent_s + self._policy.lease_s
        self._renewed_s = sent_s
        self._unresolved_s = None
        self._observed = None
        self._holding = now_s < self.valid_until_s

    def _lose(self) -> None:
        self._holding = False

    def _read(self) -> list[Effect]:
        self._call = lease_effects.ReadLease(self._engine)
        return [self._call]

    def _write(self, holder: str, version: int, now_s: float) -> list[Effect]:
        self._sent_s = now_s
        self._call = lease_effects.WriteLease(
            self._engine, lease_module.Lease(holder), version
        )
        return [self._call]
