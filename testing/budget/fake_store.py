"""In-memory account object with the platform's faults."""

from __future__ import annotations

from jasminetally._budget import known_results
from jasminetally._ledger import invariant
from jasminetally._ledger import record_codec


class Store:
    """Account object of the platform, with faults.

    ``fault`` is None, "lost" (reply lost after taking effect), "late" (reply
    lost, takes effect 0.7 s later) or "slow" (0.4 s each way).
    """

    def __init__(self):
        self.value = None
        self.version = 0
        self.fault = None
        self.writes = 0

    @property
    def delay_s(self):
        """Return the time of a call each way, in seconds."""
        return 0.4 if self.fault == "slow" else 0.002

    @property
    def record(self):
        """Return the stored record, or None."""
        return None if self.value is None else record_codec.decode(self.value)

    def write(self, value, expected_version):
        """Write at an expected version; the books must balance."""
        if expected_version != self.version:
            return known_results.Conflict()
        invariant.check_record(record_codec.decode(value))
        self.value = value
        self.version += 1
        self.writes += 1
        return known_results.Written(self.version)
