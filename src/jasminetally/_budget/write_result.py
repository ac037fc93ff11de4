"""Union of the results of a platform write."""

from __future__ import annotations

from jasminetally._budget import known_results
from jasminetally._budget import unknown_result

WriteResult = (
    known_results.Written
    | known_results.Conflict
    | known_results.NotApplied
    | unknown_result.Unknown
)
