"""Settings of a stand-in process."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._settings import fault_injection_settings


class StandinSettings(NamedTuple):
    """Settings of a stand-in: a simulated platform, engine or service.

    Attributes:
        kind: System that the stand-in simulates: ``platform``, ``engine`` or
            ``service``.
        name: Name of the stand-in in the manifest.
        address: IP address and port on which it listens.
        data_centre: Data centre in which the stand-in is simulated.
        model: Model that an engine has loaded at the start; None for no model.
        checks_fencing: Whether an engine refuses an order whose fencing number
            is lower than one it has seen.
        step_s: Duration of one decoding step of an engine, in seconds.
        slots: Maximum number of requests that an engine runs in one batch.
        reads_per_s: Rate limit of the platform for reads, per second.
        writes_per_s: Rate limit of the platform for writes, per second.
        list_lag_s: Delay, in seconds, until a change shows in the platform's
            instance list.
        faults: Faults to inject.
    """

    kind: str
    name: str
    address: str
    data_centre: str = "local"
    model: str | None = None
    checks_fencing: bool = True
    step_s: float = 0.005
    slots: int = 32
    reads_per_s: float = 2000.0
    writes_per_s: float = 300.0
    list_lag_s: float = 5.0
    faults: fault_injection_settings.FaultInjectionSettings = (
        fault_injection_settings.FaultInjectionSettings()
    )
