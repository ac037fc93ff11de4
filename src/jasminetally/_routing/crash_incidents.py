"""Crashes of backend servers, as reported by several routers."""

from __future__ import annotations

import collections

# Reports of one server within this time are one crash: all routers detect and
# report it within this time, and a server takes longer to restart.
SAME_CRASH_WINDOW_S = 3.0
MAX_TRACKED_CRASHES = 20_000


class CrashIncidents:
    """Groups the crash ids of several routers into incidents.

    Each router assigns its own id to a crash: the list of incarnations lags,
    so an id derived from it could be the same for two crashes. Ids of one
    server that are close in time form an incident. Incidents are used only to
    clear the other requests once the cause of a crash is known.
    """

    def __init__(self) -> None:
        self._incidents: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._latest: dict[str, tuple[float, str]] = {}
        self._causes: dict[str, str] = {}

    def add_crash(self, crash: str, now_s: float) -> None:
        """Add a crash id (``number@server``) of this router or a peer."""
        if crash in self._incidents:
            return
        server = crash.partition("@")[2]
        latest_s, incident = self._latest.get(server, (0.0, ""))
        if not incident or now_s - latest_s > SAME_CRASH_WINDOW_S:
            incident = crash
            self._latest[server] = (now_s, incident)
        self._incidents[crash] = incident
        if len(self._incidents) > MAX_TRACKED_CRASHES:
            oldest, incident = self._incidents.popitem(last=False)
            self._causes.pop(incident, None)
            server = oldest.partition("@")[2]
            if self._latest[server][1] == incident:
                del self._latest[server]

    def set_cause(self, crash: str, fingerprint: str) -> None:
        """Record the cause of a crash, unless one is recorded already."""
        incident = self._incidents.get(crash, crash)
        self._causes.setdefault(incident, fingerprint)

    def is_possible_cause(self, crash: str, fingerprint: str) -> bool:
        """Return whether a request may have caused a crash."""
        incident = self._incidents.get(crash, crash)
        return self._causes.get(incident, fingerprint) == fingerprint
