"""Settings of a stand-in process."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._settings import fault_injection_settings


class StandinSettings(NamedTuple):
    """Settings of a stand-in for the platform, an engine or a service.

    Attributes:
        kind: ``platform``, ``engine`` or ``service``.
        name: Name of the stand-in, as the manifest has it.
        address: IP number and port to listen on.
        data_centre: Data centre that the stand-in pretends to run in.
        model: Model that an engine has loaded at the start, or None.
        checks_fencing: Whether an engine refuses an old fencing number.
        step_s: Seconds for one step of an engine.
        slots: Requests that an engine runs in one batch.
        reads_per_s: Reads per second that the platform accepts.
        writes_per_s: Writes per second that the platform accepts.
        list_lag_s: Seconds by which the platform's list of instances lags.
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
