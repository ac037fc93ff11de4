"""Stand-in for a model engine, a backend server."""

from __future__ import annotations

import errno
import time
from typing import TYPE_CHECKING
from typing import Any
from urllib import parse

import msgspec

from jasminetally import _errors
from jasminetally._http import http_server
from jasminetally._http import wsgi_io
from jasminetally._standin import engine_behaviour
from jasminetally._standin import engine_orders
from jasminetally._standin import engine_scheduler

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from jasminetally._standin import engine_stream

DEFAULT_WORKER_THREADS = 64
# Limit of the answer if a request does not set ``max_tokens``.
DEFAULT_MAX_TOKENS = 256
# Interval at which an open stream without new tokens checks whether it was
# silenced.
STREAM_POLL_S = 0.25
# Longest time that an open connection gets no data: the timeout for a whole
# answer, and the pause of a stream that was silenced.
MAX_SILENCE_S = 300.0
STREAM_PATH_PREFIX = "/v1/streams/"


class EngineServer:
    """HTTP server that answers chat completions like a model engine.

    Routes: ``POST /v1/chat/completions`` (whole or streamed; ``X-Request-Id``
    names the stream and is sent back, lower ``X-Priority`` is decoded first),
    ``GET /v1/streams`` (list), ``GET /v1/streams/<id>?from=N`` (resume),
    ``DELETE /v1/streams/<id>`` (cancel), ``GET /v1/load``,
    ``GET /v1/cache_events?after=N``, ``GET`` and ``PUT /v1/kv``,
    ``POST /v1/orders``, ``GET /v1/state``, ``POST /admin/faults`` (fields of
    ``EngineBehaviour``; fields not given stay as they are),
    ``POST /admin/crash``, ``GET /admin/runs``.

    Args:
        name: Backend server name.
        models: Models that are loaded at the start.
        behaviour: Behaviour of the engine.
        host: IP address to bind.
        port: TCP port; 0 lets the system choose one.
        threads: Worker threads; an open stream occupies one.
        seed: Seed of the random choice of cache events that are lost.

    Attributes:
        name: Backend server name.
        scheduler: Scheduler that decodes the streams.
    """

    def __init__(
        self,
        *,
        name: str = "engine",
        models: list[str] | None = None,
        behaviour: engine_behaviour.EngineBehaviour | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        threads: int = DEFAULT_WORKER_THREADS,
        seed: int = 1,
    ) -> None:
        self.name = name
        self.scheduler = engine_scheduler.EngineScheduler(
            behaviour or engine_behaviour.EngineBehaviour(), seed=seed
        )
        self._orders = engine_orders.EngineOrders(models or ["board-small"])
        self._server = http_server.HttpServer(
            self._handle_request, host=host, port=port, threads=threads
        )

    @property
    def address(self) -> str:
        """Address in the form ``ip:port``; known after ``start``."""
        return self._server.address

    def start(self) -> None:
        """Start decoding, bind the address and begin to serve."""
        self.scheduler.start()
        self._server.start()

    def stop(self) -> None:
        """Stop serving, then decoding."""
        self._server.stop()
        self.scheduler.stop()

    def _handle_request(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if self.scheduler.restarting and not path.startswith("/admin/"):
            # The HTTP server closes the connection without a reply, as a
            # client sees it when a process has crashed.
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "the engine is restarting after a crash"
            )
        try:
            return self._dispatch_request(
                environ["REQUEST_METHOD"], path, environ, start_response
            )
        except _errors.NotRunError as exc:
            body = {"error": {"message": str(exc), "code": exc.code}}
            headers = [("X-Not-Run", "1"), ("Retry-After", "1")]
            return wsgi_io.reply_json(
                start_response, 503, body, headers=headers
            )
        except _errors.VersionConflictError as exc:
            return wsgi_io.reply_json(start_response, 409, {"error": str(exc)})
        except (ValueError, KeyError, TypeError) as exc:
            return wsgi_io.reply_json(start_response, 400, {"error": str(exc)})

    def _dispatch_request(
        self,
        method: str,
        path: str,
        environ: dict[str, Any],
        start_response: Callable,
    ) -> Iterable[bytes]:
        if path.startswith(STREAM_PATH_PREFIX):
            return self._handle_stream_request(
                method, path, environ, start_response
            )
        match (method, path):
            case ("POST", "/v1/chat/completions"):
                return self._complete_chat(environ, start_response)
            case ("POST", "/v1/orders"):
                return self._apply_order(environ, start_response)
            case ("PUT", "/v1/kv"):
                self._import_kv(wsgi_io.read_json(environ))
                return wsgi_io.reply_json(start_response, 200, {})
            case ("POST", "/admin/faults"):
                changes = wsgi_io.read_json(environ) or {}
                self.scheduler.behaviour = self.scheduler.behaviour._replace(
                    **changes
                )
                return wsgi_io.reply_json(start_response, 200, {})
            case ("POST", "/admin/crash"):
                self.scheduler.crash()
                return wsgi_io.reply_json(start_response, 200, {})
            case ("GET", _):
                return wsgi_io.reply_json(
                    start_response, 200, self._read_report(path, environ)
                )
            case _:
                return wsgi_io.reply_json(
                    start_response,
                    404,
                    {"error": f"no route matches {method} {path!r}"},
                )

    def _read_report(self, path: str, environ: dict[str, Any]) -> Any:
        """Return the JSON value of a route that only reads.

        Raises:
            ValueError: No such route exists.
        """
        match path:
            case "/v1/load":
                return self.scheduler.load_report()._asdict()
            case "/v1/state":
                draining = self.scheduler.behaviour.draining
                return {**self._orders.describe_state(), "draining": draining}
            case "/v1/kv":
                return self.scheduler.cache.export_prefixes()
            case "/v1/cache_events":
                query = parse.parse_qs(environ.get("QUERY_STRING", ""))
                after = int(query.get("after", ["0"])[0])
                lag_s = self.scheduler.behaviour.cache_event_lag_s
                events = self.scheduler.cache.events(
                    after, time.monotonic() - lag_s
                )
                return [event._asdict() for event in events]
            case "/v1/streams":
                return [
                    {
                        "id": stream.stream_id,
                        "state": stream.state,
                        "tokens": stream.prompt_tokens + stream.produced_tokens,
                    }
                    for stream in self.scheduler.streams()
                ]
            case "/admin/runs":
                return {
                    "runs": dict(self.scheduler.runs),
                    "crashes": self.scheduler.crashes,
                }
            case _:
                raise ValueError(f"no route matches GET {path!r}")

    def _import_kv(self, prefixes: list[str]) -> None:
        behaviour = self.scheduler.behaviour
        self.scheduler.cache.import_prefixes(
            prefixes,
            capacity_blocks=behaviour.prefix_blocks,
            event_loss=behaviour.cache_event_loss,
            now_s=time.monotonic(),
        )

    def _apply_order(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        order = wsgi_io.read_json(environ)
        behaviour = self.scheduler.behaviour
        self._orders.apply_order(
            order["kind"],
            order["value"],
            int(order["fencing"]),
            checks_fencing=behaviour.checks_fencing,
            duration_s=behaviour.load_model_s,
        )
        return wsgi_io.reply_json(
            start_response, 200, self._orders.describe_state()
        )

    def _complete_chat(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        body = wsgi_io.read_json(environ)
        prompt = "\n".join(
            str(message["content"]) for message in body["messages"]
        )
        stream = self.scheduler.submit(
            environ["HTTP_X_REQUEST_ID"],
            prompt,
            int(body.get("max_tokens") or DEFAULT_MAX_TOKENS),
            int(environ.get("HTTP_X_PRIORITY", "0")),
        )
        if body.get("stream"):
            return self._start_event_stream(stream, 0, start_response)
        # No stream gets more tokens than this, so the wait is for its end.
        stream.wait_for_more_tokens(stream.answer_tokens, MAX_SILENCE_S)
        if stream.state != "finished":
            raise ConnectionAbortedError(
                errno.ECONNABORTED,
                f"stream {stream.stream_id!r} is {stream.state}, "
                "expected finished",
            )
        return wsgi_io.reply_json(
            start_response,
            200,
            _completion_body(stream, body.get("model", "")),
            headers=[("X-Request-Id", stream.stream_id)],
        )

    def _handle_stream_request(
        self,
        method: str,
        path: str,
        environ: dict[str, Any],
        start_response: Callable,
    ) -> Iterable[bytes]:
        stream = self.scheduler.find_stream(
            parse.unquote(path[len(STREAM_PATH_PREFIX) :])
        )
        if stream is None:
            return wsgi_io.reply_json(
                start_response,
                404,
                {"error": "no stream has this id, or it has expired"},
            )
        if method == "DELETE":
            stream.end("cancelled", time.monotonic())
            tokens = stream.prompt_tokens + stream.produced_tokens
            return wsgi_io.reply_json(start_response, 200, {"tokens": tokens})
        query = parse.parse_qs(environ.get("QUERY_STRING", ""))
        return self._start_event_stream(
            stream, int(query.get("from", ["0"])[0]), start_response
        )

    def _start_event_stream(
        self,
        stream: engine_stream.EngineStream,
        first_index: int,
        start_response: Callable,
    ) -> Iterable[bytes]:
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                ("X-Request-Id", stream.stream_id),
            ],
        )
        return self._generate_events(stream, first_index)

    def _generate_events(
        self, stream: engine_stream.EngineStream, first_index: int
    ) -> Iterator[bytes]:
        """Yield the events of a stream from a token index to its end.

        Raises:
            ConnectionAbortedError: The engine crashed. The HTTP server closes
                the connection.
        """
        epoch = self.scheduler.behaviour.silent_epoch
        index = first_index
        while True:
            produced_tokens = stream.wait_for_more_tokens(index, STREAM_POLL_S)
            if epoch != self.scheduler.behaviour.silent_epoch:
                time.sleep(MAX_SILENCE_S)
            if produced_tokens > index:
                yield b"".join(
                    _token_event(stream, number)
                    for number in range(index, produced_tokens)
                )
                index = produced_tokens
            elif stream.state == "crashed":
                raise ConnectionAbortedError(
                    errno.ECONNABORTED, "the engine crashed during the answer"
                )
            elif stream.state != "running":
                yield _closing_events(stream)
                return


def _completion_body(
    stream: engine_stream.EngineStream, model_name: str
) -> dict[str, Any]:
    return {
        "id": stream.stream_id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": model_name,
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": stream.answer_text(),
                },
                "finish_reason": "stop",
            }
        ],
        "usage": _token_usage(stream),
    }


def _token_usage(stream: engine_stream.EngineStream) -> dict[str, int]:
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.produced_tokens,
        "total_tokens": stream.prompt_tokens + stream.produced_tokens,
    }


def _token_event(stream: engine_stream.EngineStream, index: int) -> bytes:
    return _encode_chunk(
        stream,
        {
            "index": 0,
            "delta": {"role": "assistant", "content": stream.token_text(index)},
            "finish_reason": None,
        },
        {"token_index": index},
    )


def _closing_events(stream: engine_stream.EngineStream) -> bytes:
    """Return the chunk with the token usage, and the end marker."""
    reason = "stop" if stream.state == "finished" else "cancelled"
    last_chunk = _encode_chunk(
        stream,
        {"index": 0, "delta": {}, "finish_reason": reason},
        {"usage": _token_usage(stream)},
    )
    return last_chunk + b"data: [DONE]\n\n"


def _encode_chunk(
    stream: engine_stream.EngineStream,
    choice: dict[str, Any],
    extra_fields: dict[str, Any],
) -> bytes:
    value = {
        "id": stream.stream_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "",
        "choices": [choice],
        **extra_fields,
    }
    return b"data: " + msgspec.json.encode(value) + b"\n\n"
