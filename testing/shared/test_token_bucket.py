"""Tests of the token bucket."""

from __future__ import annotations

from jasminetally._shared import token_bucket


def test_rate_holds_in_the_long_run():
    """Guards against a burst that is granted again and again."""
    bucket = token_bucket.TokenBucket(rate_per_s=2.0, burst=4)
    taken = sum(bucket.take(tenth / 10) == 0.0 for tenth in range(1000))
    assert 4 + 2 * 99 <= taken <= 4 + 2 * 100


def test_wait_is_the_time_after_which_a_load_may_start():
    """Guards against callers that poll, or that wait too long."""
    bucket = token_bucket.TokenBucket(rate_per_s=0.5, burst=1)
    assert bucket.take(10.0) == 0.0
    assert bucket.take(10.5) == 1.5
    assert bucket.take(12.0) == 0.0


def test_store_closes_the_bucket_for_the_longest_time_it_gave():
    """Guards against a later, shorter answer that opens it early."""
    bucket = token_bucket.TokenBucket(rate_per_s=1.0, burst=5)
    bucket.close(retry_after_s=9.0, now_s=0.0)
    bucket.close(retry_after_s=2.0, now_s=1.0)
    assert bucket.take(3.5) == 5.5
    assert bucket.take(9.0) == 0.0
