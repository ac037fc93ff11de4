"""Tests of the HTTP client against the stand-in of the platform."""

from __future__ import annotations

import socket

import pytest
import urllib3

from jasminetally import _errors
from jasminetally._platform import http_client
from jasminetally._standin import platform_server


@pytest.fixture
def server():
    started = platform_server.PlatformServer()
    started.start()
    yield started
    started.stop()


@pytest.fixture
def platform(server):
    client = http_client.HttpPlatform(server.address)
    yield client
    client.close()


def set_faults(server, **faults):
    """Set faults of the stand-in through its administration interface."""
    urllib3.request(
        "POST", f"http://{server.address}/admin/faults", json=faults
    )


def test_update_and_watch_preserve_bytes_and_versions(platform):
    """Guards against an encoding that changes keys, bytes or versions."""
    value = bytes(range(256))
    first = platform.create("account/a b", value)
    second = platform.update("account/a b", b"x", expected_version=first)
    assert platform.get("account/a b").value == b"x"
    changes = platform.watch("account/", after_version=first, timeout_s=0)
    (change,) = changes.entries
    assert changes.version == change.version
    assert (change.value, change.version) == (b"x", second)
    platform.create("account/c", value)
    assert platform.list("account/c").entries[0].value == value


def test_update_at_an_old_version_conflicts(platform):
    """Guards against an update over HTTP that overwrites a newer one."""
    version = platform.create("a", b"1")
    platform.update("a", b"2", expected_version=version)
    with pytest.raises(_errors.VersionConflictError):
        platform.update("a", b"3", expected_version=version)


def test_lost_reply_is_reported_as_unknown_outcome(server, platform):
    """Guards against an applied write that is reported as failed."""
    set_faults(server, lost_replies=1)
    with pytest.raises(_errors.OutcomeUnknownError):
        platform.create("a", b"1")
    assert platform.get("a").value == b"1"


def test_write_in_an_outage_is_reported_as_not_applied(server, platform):
    """Guards against an outage that is reported as an unknown outcome."""
    set_faults(server, outage=True)
    with pytest.raises(_errors.PlatformUnavailableError):
        platform.create("a", b"1")
    set_faults(server, outage=False)
    with pytest.raises(_errors.NotFoundError):
        platform.get("a")


def test_write_above_the_rate_limit_is_refused_with_retry_after(
    server, platform
):
    """Guards against a refusal that doesn't say when to retry."""
    set_faults(server, writes_per_s=1.0)
    platform.create("a", b"1")
    with pytest.raises(_errors.RateLimitedError) as caught:
        platform.create("b", b"1")
    assert caught.value.retry_after_s > 0


def test_truncated_write_is_not_applied(server, platform):
    """Guards against a truncated record if a router exits while it writes."""
    host, port = server.address.split(":")
    version = platform.create("a", b"whole")
    with socket.create_connection((host, int(port)), timeout=5) as conn:
        conn.sendall(
            b"PUT /v1/objects/a HTTP/1.1\r\nHost: x\r\n"
            b"If-Match: %d\r\nContent-Length: 100\r\n\r\nhalf" % version
        )
        conn.shutdown(socket.SHUT_WR)
        assert b" 400 " in conn.recv(4096).split(b"\r\n")[0]
    assert platform.get("a").value == b"whole"


@pytest.mark.parametrize(
    ("value", "delay_s"),
    [("2.5", 2.5), ("inf", 1.0), ("Mon, 01 Jan 2001 00:00:00 GMT", 0.0)],
)
def test_refused_call_is_repeated_after_a_bounded_time(
    platform, monkeypatch, value, delay_s
):
    """Guards against a Retry-After value that ends the caller or its calls."""
    reply = urllib3.HTTPResponse(status=429, headers={"Retry-After": value})
    monkeypatch.setattr(
        urllib3.HTTPConnectionPool, "request", lambda *_, **__: reply
    )
    with pytest.raises(_errors.RateLimitedError) as caught:
        platform.get("account/a")
    assert caught.value.retry_after_s == delay_s
