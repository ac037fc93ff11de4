"""Tests of the validation of requests and their encoding for servers."""

from __future__ import annotations

import pytest

from jasminetally import _errors
from jasminetally._deployment import caller_limits
from jasminetally._deployment import client_account
from jasminetally._deployment import deployment
from jasminetally._deployment import deployment_index
from jasminetally._deployment import engine_spec
from jasminetally._deployment import route
from jasminetally._deployment import route_kind
from jasminetally._deployment import service
from jasminetally._deployment import weighted_service
from jasminetally._forward import caller_request
from jasminetally._forward import header_names
from jasminetally._forward import request_reader
from jasminetally._forward import server_request

NAMES = header_names.HeaderNames(
    request_id=b"x-id",
    deadline_ms=b"x-deadline",
    account=b"x-account",
    expected_server=b"x-server",
    not_run=b"x-not-run",
    signature=b"x-signature",
    model=b"x-model",
    token_usage=b"x-usage",
    prompt_parts=b"x-parts",
    priority=b"x-priority",
    server_leaving=b"x-leaving",
    server_limit=b"x-limit",
    server_brittle=b"x-brittle",
    cold_ms=b"x-cold",
    last_event_id=b"x-last",
    resumed_request=b"x-resumes",
    reserved=frozenset({b"x-hold"}),
)


def make_route(**changes) -> route.Route:
    base = route.Route(
        name="r",
        host="site",
        path_prefix="/a/",
        kind=route_kind.RouteKind.STREAM,
        services=(
            weighted_service.WeightedService("big", 90),
            weighted_service.WeightedService("small", 10),
        ),
        timeout_s=2.0,
        target_latency_s=0.3,
        target_event_gap_s=0.3,
        priority=1,
        max_attempts=2,
        public=False,
        prefix_affinity=True,
        resumable=True,
    )
    return base._replace(**changes)


def make_index(**changes) -> deployment_index.DeploymentIndex:
    engine = engine_spec.EngineSpec(8, 1_000, 6)
    return deployment_index.DeploymentIndex(
        deployment.Deployment(
            4,
            (make_route(**changes),),
            {
                "big": service.Service("big", 9, engine),
                "small": service.Service("small", 9, engine),
            },
            {"acme": client_account.ClientAccount("acme", ("k",), 0, 500)},
            caller_limits.CallerLimits(1, 1, 1, 1),
        )
    )


def make_request(*extra, request_id=b"id-1") -> caller_request.CallerRequest:
    headers = [
        (b"host", b"site"),
        (b"x-id", request_id),
        (b"authorization", b"Bearer k"),
        (b"x-deadline", b"1500"),
        (b"x-usage", b"100,60"),
        (b"x-parts", b"aa:40,bb:60"),
        *extra,
    ]
    return caller_request.CallerRequest(
        b"POST", b"/a/x?y=1", headers, b"body", False, True, 99.0, 100.0
    )


@pytest.fixture
def reader() -> request_reader.RequestReader:
    return request_reader.RequestReader(NAMES)


def test_job_combines_route_account_and_headers(reader):
    """Guards against a wrong deadline, token reservation or priority."""
    job = reader.read_request(make_request(), make_index())
    assert job.account.name == "acme"
    assert job.deadline_s == 101.5
    assert job.reserved_tokens == 160
    assert [part.part_id for part in job.prompt_parts] == ["aa", "bb"]
    assert job.priority == 0
    assert job.tokens_per_event == 6
    assert job.deployment_version == 4


def test_route_timeout_bounds_a_longer_deadline(reader):
    """Guards against requests that run for longer than their route allows."""
    job = reader.read_request(make_request(), make_index(timeout_s=0.5))
    assert job.deadline_s == 100.5


def test_requests_are_split_between_services_by_weight(reader):
    """Guards against a service of small weight that gets all or no requests."""
    index = make_index()
    services = [
        reader.read_request(
            make_request(request_id=b"id-%d" % number), index
        ).service
        for number in range(1_000)
    ]
    assert 50 <= services.count("small") <= 150


@pytest.mark.parametrize(
    ("extra", "status"),
    [
        (((b"x-id", b"second"),), 400),
        (((b"host", b"second"),), 400),
        (((b"x-deadline", b"7"),), 400),
        (((b"authorization", b"Bearer other"),), 401),
    ],
)
def test_ambiguous_request_is_refused(reader, extra, status):
    """Guards against accepting duplicated headers, or an unknown API key.

    Routers and servers may choose different values of a duplicated header.
    """
    with pytest.raises(_errors.CallerError) as caught:
        reader.read_request(make_request(*extra), make_index())
    assert caught.value.status == status


@pytest.mark.parametrize("number", [b"9" * 400, b"9" * 5_000, b"\xb2", b""])
@pytest.mark.parametrize(
    ("name", "value"),
    [(b"x-deadline", b"%b"), (b"x-usage", b"%b,60"), (b"x-usage", b"100,%b")],
)
def test_number_that_cannot_be_read_is_refused(reader, name, value, number):
    """Guards against a request without a response. Issue 63."""
    request = make_request()
    request = request._replace(
        headers=[
            (found, value % number if found == name else kept)
            for found, kept in request.headers
        ]
    )
    with pytest.raises(_errors.CallerError) as caught:
        reader.read_request(request, make_index())
    assert caught.value.status == 400


@pytest.mark.parametrize("tokens", [b"9" * 5_000, b"\xb2", b"-1"])
def test_parts_whose_tokens_cannot_be_read_are_ignored(reader, tokens):
    """Guards against a request without a response. Issue 63."""
    request = make_request()
    request = request._replace(
        headers=[
            (name, b"aa:40,bb:%b" % tokens if name == b"x-parts" else value)
            for name, value in request.headers
        ]
    )
    job = reader.read_request(request, make_index())
    assert job.prompt_parts == ()


def test_public_route_needs_no_key(reader):
    """Guards against checking the API key on a public route.

    Such a request would be refused, or charged to a client account.
    """
    job = reader.read_request(make_request(), make_index(public=True))
    assert job.account is None


def test_request_without_relayed_events_is_not_charged(reader):
    """Guards against charging for a response that the caller did not get.

    Also, a request is never charged more tokens than were reserved.
    """
    job = reader.read_request(make_request(), make_index())
    job.may_have_run = True
    assert job.used_tokens == 0
    job.relayed_events = 3
    assert job.used_tokens == 100 + 18
    job.relayed_events = 30
    assert job.used_tokens == 160


def test_server_gets_remaining_time_and_last_event_id(reader):
    """Guards against a server that runs a request beyond its deadline.

    Also against a wrong resumption of a stream, and against headers of the
    caller that only the router may set.
    """
    request = make_request((b"x-hold", b"forged"), (b"x-last", b"1"))
    job = reader.read_request(request, make_index())
    job.last_event_id = 7
    encoded = server_request.encode_request(
        job, NAMES, server="s-1", now_s=101.0
    )
    head, _, body = encoded.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /a/x?y=1 HTTP/1.1"
    assert b"x-deadline: 500" in lines
    assert b"x-server: s-1" in lines
    assert b"x-account: acme" in lines
    assert b"x-last: 7" in lines
    assert b"x-last: 1" not in lines
    assert not any(line.startswith(b"x-hold") for line in lines)
    assert body == b"body"


def test_only_the_first_parts_of_a_long_prompt_are_kept(reader):
    """Guards against thousands of objects made of one header. Issue 72."""
    value = b",".join(b"%x:1" % number for number in range(4_000))
    request = make_request()
    request = request._replace(
        headers=[
            (name, value if name == b"x-parts" else old)
            for name, old in request.headers
        ]
    )
    job = reader.read_request(request, make_index())
    assert len(job.prompt_parts) == request_reader.MAX_PROMPT_PARTS
    assert job.prompt_parts[1].part_id == "1"
