"""Crashes that several routers saw."""

from __future__ import annotations

import collections

# Routers see the same crash, and hear of each other's sight of it, within this
# time; a server takes longer to restart.
SAME_CRASH_WINDOW_S = 3.0
MAX_TRACKED_CRASHES = 20_000


class CrashIncidents:
    """Groups the crash ids of several routers by server and time.

    Each router gives a crash an id of its own, because the list of
    incarnations lags and two crashes must never share an id. The groups serve
    only to clear requests when the cause of a crash is known.
    """

    def __init__(self) -> None:
        self._incidents: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self._latest: dict[str, tuple[float, str]] = {}
        self._causes: dict[str, str] = {}

    def add_crash(self, crash: str, now_s: float) -> None:
        """Note a crash id (``number@server``) that was made or heard of."""
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
        """Note the cause of a crash; the first one named stays."""
        incident = self._incidents.get(crash, crash)
        self._causes.setdefault(incident, fingerprint)

    def is_possible_cause(self, crash: str, fingerprint: str) -> bool:
        """Return whether a request may have caused a crash."""
        incident = self._incidents.get(crash, crash)
        return self._causes.get(incident, fingerprint) == fingerprint
