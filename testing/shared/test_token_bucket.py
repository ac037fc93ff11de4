"""Tests of the token bucket."""

from __future__ import annotations

from jasminetally._shared import token_bucket


def test_long_term_rate_stays_at_the_limit():
    """Guards against granting the burst repeatedly instead of only once."""
    bucket = token_bucket.TokenBucket(rate_per_s=2.0, burst=4)
    taken = sum(bucket.take(tenth / 10) == 0.0 for tenth in range(1000))
    assert 4 + 2 * 99 <= taken <= 4 + 2 * 100


def test_take_returns_seconds_until_the_next_action():
    """Guards against wait times that are too short or too long.

    Callers would then poll the bucket or start their actions late.
    """
    bucket = token_bucket.TokenBucket(rate_per_s=0.5, burst=1)
    assert bucket.take(10.0) == 0.0
    assert bucket.take(10.5) == 1.5
    assert bucket.take(12.0) == 0.0


def test_later_shorter_pause_does_not_end_a_longer_one():
    """Guards against a later, shorter retry time that ends the pause early."""
    bucket = token_bucket.TokenBucket(rate_per_s=1.0, burst=5)
    bucket.pause(retry_after_s=9.0, now_s=0.0)
    bucket.pause(retry_after_s=2.0, now_s=1.0)
    assert bucket.take(3.5) == 5.5
    assert bucket.take(9.0) == 0.0
