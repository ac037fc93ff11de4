"""Check that streams go on at the version of the server that began them."""

from __future__ import annotations

import collections

from testing.soak import fault_periods as fault_periods_lib
from testing.soak import rule as rule_lib

# Streams of a day that the users allow to go on at another version.
MAX_JOINED_STREAMS = 2


class VersionChecker:
    """Compares the versions of the servers that bring the events of a stream.

    Args:
        fault_periods: Counts how often the rule could have been found broken.
    """

    def __init__(self, fault_periods: fault_periods_lib.FaultPeriods) -> None:
        self._fault_periods = fault_periods
        self._began: dict[str, str] = {}
        self._serving: dict[str, str] = {}
        self._joined: collections.Counter[str] = collections.Counter()

    def on_serving(self, server: str, version: str) -> None:
        """Record the version of a server's process, which has just started."""
        self._serving[server] = version

    def on_run(self, request: tuple, version: str, now_s: float) -> None:
        """Check a request that a server starts to run.

        Args:
            request: Method, target, headers and body as the server got them.
            version: Version of the server's process.
            now_s: Current time, in seconds of the monotonic clock.
        """
        headers = request[2]
        request_id = headers["x-jasminetally-attempt-id"]
        if "last-event-id" not in headers:
            self._began.pop(request_id, None)
            return
        stream = headers.get("resumes", request_id)
        began = self._began.get(stream)
        if began is None:
            return
        if len(set(self._serving.values())) > 1:
            self._fault_periods.applies(rule_lib.Rule.VERSIONS, now_s, now_s)
        if version != began:
            self._joined[stream] += 1

    def on_event(self, request_id: str, version: str) -> None:
        """Record that a server's process makes an event of a stream."""
        self._began.setdefault(request_id, version)

    def find_violations(self) -> list[str]:
        """Return a description of the streams of two versions, if too many."""
        if len(self._joined) <= MAX_JOINED_STREAMS:
            return []
        return [
            f"{len(self._joined)} streams went on at another version than the"
            f" one that began them: {', '.join(sorted(self._joined)[:5])}"
        ]
