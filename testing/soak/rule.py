"""Rules of the soak that some faults excuse for a time."""

from __future__ import annotations

import enum


class Rule(enum.Enum):
    """Rule that the soak checks, with what it demands as its value."""

    CUT_OFF = "a request that runs is not cut off"
    DRAINING = "a draining server gets no requests"
    CONFIGURATION = "a stored configuration is in force in time"
    ABANDONED = "a request whose caller has left is cancelled"
    PAUSE = "a server gets no requests in a pause that it has asked for"
    LEAVING = "a server that says it leaves gets no requests"
    SERVED = "a router cut off from all servers serves its callers"
    EVACUATED = "an evacuated data centre gets no requests"
    COLD = "a cold server gets no more requests than it takes"
    VERSIONS = "a stream goes on at the version that began it"
    CRASHES = "requests that crash servers are refused"
