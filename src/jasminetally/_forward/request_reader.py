"""Check of a caller's request against the configuration."""

from __future__ import annotations

from jasminetally import _errors
from jasminetally._deployment import client_account
from jasminetally._deployment import deployment_index
from jasminetally._deployment import route as route_lib
from jasminetally._forward import caller_request
from jasminetally._forward import header_names
from jasminetally._forward import request_job
from jasminetally._placing import prompt_part
from jasminetally._shared import rendezvous

BEARER_PREFIX = b"bearer "
# An id is a short token; longer ones are taken as malformed.
REQUEST_ID_LIMIT_BYTES = 200


class RequestReader:
    """Turn requests into jobs, or say what is wrong with them.

    Args:
        names: Header names of the platform.
    """

    def __init__(self, names: header_names.HeaderNames) -> None:
        self._names = names

    def read_request(
        self,
        request: caller_request.CallerRequest,
        index: deployment_index.DeploymentIndex,
    ) -> request_job.RequestJob:
        """Return the job of a request.

        Raises:
            CallerError: The request is malformed or not allowed.
        """
        request_id = self._read_request_id(request)
        route = _find_route(request, index)
        account = _authenticate(request, index, route)
        service = _choose_service(route, request_id)
        prompt_tokens, max_output_tokens = self._read_token_usage(request)
        declared = index.deployment.services.get(service)
        engine = declared.engine if declared is not None else None
        return request_job.RequestJob(
            request=request,
            request_id=request_id,
            route=route,
            service=service,
            account=account,
            deployment_version=index.deployment.version,
            deadline_s=request.arrived_s + self._read_timeout_s(request, route),
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_output_tokens,
            prompt_parts=self._read_prompt_parts(request),
            tokens_per_event=engine.max_tokens_per_event if engine else 1,
        )

    def _read_request_id(self, request: caller_request.CallerRequest) -> str:
        found = request.header_value(self._names.request_id)
        if not found or len(found) > REQUEST_ID_LIMIT_BYTES:
            raise _bad_request_error(
                "the request has no id of its own, or more than one"
            )
        return found.decode("latin-1")

    def _read_timeout_s(
        self, request: caller_request.CallerRequest, route: route_lib.Route
    ) -> float:
        values = request.header_values(self._names.deadline_ms)
        if not values:
            return route.timeout_s
        if len(values) > 1 or not values[0].isdigit():
            raise _bad_request_error(
                "the deadline is not one whole number of milliseconds"
            )
        return min(route.timeout_s, int(values[0]) / 1000)

    def _read_token_usage(
        self, request: caller_request.CallerRequest
    ) -> tuple[int, int]:
        value = request.header_value(self._names.token_usage)
        if value is None:
            return 0, 0
        prompt, _, output = value.partition(b",")
        if not prompt.strip().isdigit() or not output.strip().isdigit():
            raise _bad_request_error("the token usage is not two whole numbers")
        return int(prompt), int(output)

    def _read_prompt_parts(
        self, request: caller_request.CallerRequest
    ) -> tuple[prompt_part.PromptPart, ...]:
        value = request.header_value(self._names.prompt_parts)
        if not value:
            return ()
        parts = []
        for piece in value.decode("latin-1").split(","):
            name, _, tokens = piece.strip().partition(":")
            if not tokens.isdigit():
                # The parts only help to place a request.
                return ()
            parts.append(prompt_part.PromptPart(name, int(tokens)))
        return tuple(parts)


def _find_route(
    request: caller_request.CallerRequest,
    index: deployment_index.DeploymentIndex,
) -> route_lib.Route:
    host = request.header_value(b"host")
    if host is None or not request.target.startswith(b"/"):
        raise _bad_request_error(
            "the request has no single Host header or no plain path"
        )
    path = request.target.partition(b"?")[0].decode("latin-1")
    route = index.find_route(host.decode("latin-1"), path)
    if route is None:
        raise _errors.CallerError(
            f"no route for {path!r}", status=404, code="no_route"
        )
    return route


def _authenticate(
    request: caller_request.CallerRequest,
    index: deployment_index.DeploymentIndex,
    route: route_lib.Route,
) -> client_account.ClientAccount | None:
    if route.public or not index.deployment.accounts:
        return None
    value = request.header_value(b"authorization") or b""
    if value[: len(BEARER_PREFIX)].lower() == BEARER_PREFIX:
        key = value[len(BEARER_PREFIX) :].strip().decode("latin-1")
        account = index.find_account(key)
        if account is not None:
            return account
    raise _errors.CallerError(
        "the key is not known", status=401, code="unknown_key"
    )


def _choose_service(route: route_lib.Route, request_id: str) -> str:
    """Return the service of a request, by the weights of its route."""
    total = sum(found.weight for found in route.services)
    point = rendezvous.unit_weight(route.name, request_id) * total
    for found in route.services:
        point -= found.weight
        if point < 0:
            return found.service
    return route.services[-1].service


def _bad_request_error(message: str) -> _errors.CallerError:
    return _errors.CallerError(message, status=400, code="bad_request")
