"""Reading of Retry-After headers."""

from __future__ import annotations

from email import utils
import math
import re
from typing import NamedTuple

# Delay that an unreadable value stands for.
DEFAULT_DELAY_S = 1.0
# Longest delay that is accepted, so that a wrong value does not exclude its
# sender for good.
MAX_DELAY_S = 300.0
_SECONDS = re.compile(r"\d+(\.\d*)?|\.\d+")


class RetryAfter(NamedTuple):
    """Delay that a Retry-After header asks for.

    Attributes:
        delay_s: Seconds to wait, from 0 to ``MAX_DELAY_S``.
        exact: Whether this is what the header says; otherwise the value was
            unreadable, negative or too long.
    """

    delay_s: float
    exact: bool


def parse(text: str, *, time_of_day_s: float) -> RetryAfter:
    """Return the delay that the value of a Retry-After header asks for.

    Args:
        text: Seconds, also with a fraction, or an HTTP date.
        time_of_day_s: Current time of day in seconds, for dates.
    """
    text = text.strip()
    if _SECONDS.fullmatch(text):
        return _bound(float(text))
    try:
        moment = utils.parsedate_to_datetime(text)
    except (TypeError, ValueError, IndexError):
        return _parse_other(text)
    return _bound(max(0.0, moment.timestamp() - time_of_day_s))


def _parse_other(text: str) -> RetryAfter:
    """Return the delay for a value that is neither seconds nor a date."""
    try:
        number = float(text)
    except ValueError:
        return RetryAfter(DEFAULT_DELAY_S, False)
    if math.isfinite(number) and number <= 0:
        return RetryAfter(0.0, False)
    return RetryAfter(DEFAULT_DELAY_S, False)


def _bound(delay_s: float) -> RetryAfter:
    if delay_s > MAX_DELAY_S:
        return RetryAfter(MAX_DELAY_S, False)
    return RetryAfter(delay_s, True)
