"""In-memory account object of a faulty platform."""

from __future__ import annotations

from jasminetally._budget import known_results
from jasminetally._ledger import invariant
from jasminetally._ledger import record_codec


class Store:
    """Account object of a platform with faults.

    Attributes:
        value: Encoded record; None if the object does not exist.
        version: Version of the object; 0 if it does not exist.
        fault: None, "lost" (a write takes effect but its reply is lost),
            "late" (a write takes effect 0.7 s later and its reply is lost) or
            "slow" (0.4 s each way).
        writes: Number of writes that took effect.
    """

    def __init__(self):
        self.value = None
        self.version = 0
        self.fault = None
        self.writes = 0

    @property
    def delay_s(self):
        """Return the delay of a call in each direction, in seconds."""
        return 0.4 if self.fault == "slow" else 0.002

    @property
    def record(self):
        """Return the stored record, or None."""
        return None if self.value is None else record_codec.decode(self.value)

    def write(self, value, expected_version):
        """Write at an expected version; check the record's invariant."""
        if expected_version != self.version:
            return known_results.Conflict()
        invariant.check_record(record_codec.decode(value))
        self.value = value
        self.version += 1
        self.writes += 1
        return known_results.Written(self.version)
