"""Which requests a router that shuts down still accepts."""

from __future__ import annotations

from jasminetally._forward import answer_times
from jasminetally._forward import request_job

# Time after the signal to stop in which requests are still accepted whose
# answers are likely to be complete before the process must end.
LIKELY_ACCEPTED_S = 2.8
# Time that an answer may take longer than most: sound backend servers fall
# silent for a second at times.
SILENCE_MARGIN_S = 1.0


class StopAdmission:
    """Decides which requests a router accepts while it shuts down.

    Callers use an address for some time after it is no longer listed. What the
    router can't answer whole before its process must end is better refused at
    once, since another router can still run it. Performs no I/O.

    Args:
        times: How long the answers of each route take.
    """

    def __init__(self, times: answer_times.AnswerTimes) -> None:
        self._times = times
        self._began_s = float("inf")
        self._end_s = float("inf")

    def begin(self, now_s: float, end_s: float) -> None:
        """Note that the router shuts down.

        Args:
            now_s: Monotonic time in seconds of the signal to stop.
            end_s: Monotonic time in seconds by which all answers must be
                complete.
        """
        self._began_s, self._end_s = now_s, end_s

    def accepts(self, job: request_job.RequestJob, now_s: float) -> bool:
        """Return whether a request that has been read is accepted.

        Args:
            job: The request.
            now_s: Monotonic time in seconds.
        """
        if job.deadline_s <= self._end_s:
            return True
        if now_s - self._began_s > LIKELY_ACCEPTED_S:
            return False
        likely_s = self._times.likely_s(job.route.name)
        if likely_s is None:
            return True
        return now_s + likely_s + SILENCE_MARGIN_S <= self._end_s
