"""Stand-in for a model engine."""

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

DEFAULT_THREADS = 64
DEFAULT_MAX_TOKENS = 256
STREAM_POLL_S = 0.25
MAX_SILENCE_S = 300.0
STREAM_PATH_PREFIX = "/v1/streams/"


class EngineServer:
    """Serve chat completions in the way of a model engine.

    Routes: ``POST /v1/chat/completions`` (whole or streamed; ``X-Request-Id``
    names the stream and is echoed, ``X-Priority`` orders the queue),
    ``GET /v1/streams/<id>?from=N`` (resume), ``DELETE /v1/streams/<id>``
    (cancel), ``GET /v1/load``, ``GET /v1/cache_events?after=N``,
    ``GET`` and ``PUT /v1/kv``, ``POST /v1/orders``, ``GET /v1/state``,
    ``POST /admin/faults`` (fields of ``EngineBehaviour``),
    ``POST /admin/crash``, ``GET /admin/runs``.

    Args:
        name: Backend server name.
        models: Models that are loaded at the start.
        behaviour: Behaviour of the engine.
        host: IP address to bind.
        port: TCP port; 0 lets the system choose one.
        threads: Worker threads; an open stream occupies one.
        seed: Seed of the random source.
    """

    def __init__(
        self,
        *,
        name: str = "engine",
        models: list[str] | None = None,
        behaviour: engine_behaviour.EngineBehaviour | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        threads: int = DEFAULT_THREADS,
        seed: int = 1,
    ) -> None:
        self.name = name
        self.scheduler = engine_scheduler.EngineScheduler(
            behaviour or engine_behaviour.EngineBehaviour(), seed=seed
        )
        self._orders = engine_orders.EngineOrders(models or ["board-small"])
        self._daemon = http_server.HttpServer(
            self._serve, host=host, port=port, threads=threads
        )

    @property
    def address(self) -> str:
        """Address in the form ``ip:port``."""
        return self._daemon.address

    def start(self) -> None:
        """Begin to serve."""
        self.scheduler.start()
        self._daemon.start()

    def stop(self) -> None:
        """Stop serving."""
        self._daemon.stop()
        self.scheduler.stop()

    def _serve(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if self.scheduler.restarting and not path.startswith("/admin/"):
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "the engine has crashed"
            )
        try:
            return self._route(
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

    def _route(
        self,
        method: str,
        path: str,
        environ: dict[str, Any],
        start_response: Callable,
    ) -> Iterable[bytes]:
        if path.startswith(STREAM_PATH_PREFIX):
            return self._stream_route(method, path, environ, start_response)
        match (method, path):
            case ("POST", "/v1/chat/completions"):
                return self._chat(environ, start_response)
            case ("POST", "/v1/orders"):
                return self._order(environ, start_response)
            case ("PUT", "/v1/kv"):
                self._import_kv(wsgi_io.read_json(environ))
                return wsgi_io.reply_json(start_response, 200, {})
            case ("POST", "/admin/faults"):
                wanted = wsgi_io.read_json(environ) or {}
                self.scheduler.behaviour = self.scheduler.behaviour._replace(
                    **wanted
                )
                return wsgi_io.reply_json(start_response, 200, {})
            case ("POST", "/admin/crash"):
                self.scheduler.crash()
                return wsgi_io.reply_json(start_response, 200, {})
            case ("GET", _):
                return wsgi_io.reply_json(
                    start_response, 200, self._report(path, environ)
                )
            case _:
                return wsgi_io.reply_json(start_response, 404, {"error": path})

    def _report(self, path: str, environ: dict[str, Any]) -> Any:
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
                raise ValueError(f"no route {path!r}")

    def _import_kv(self, prefixes: list[str]) -> None:
        behaviour = self.scheduler.behaviour
        self.scheduler.cache.import_prefixes(
            prefixes,
            capacity_blocks=behaviour.prefix_blocks,
            event_loss=behaviour.cache_event_loss,
            now_s=time.monotonic(),
        )

    def _order(
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

    def _chat(
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
            return self._events(stream, 0, start_response)
        stream.wait_for_more_tokens(stream.answer_tokens, MAX_SILENCE_S)
        if stream.state != "finished":
            raise ConnectionAbortedError(
                errno.ECONNABORTED, f"stream ended as {stream.state}"
            )
        return wsgi_io.reply_json(
            start_response,
            200,
            _completion(stream, body.get("model", "")),
            headers=[("X-Request-Id", stream.stream_id)],
        )

    def _stream_route(
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
                start_response, 404, {"error": "no stream"}
            )
        if method == "DELETE":
            stream.end("cancelled", time.monotonic())
            tokens = stream.prompt_tokens + stream.produced_tokens
            return wsgi_io.reply_json(start_response, 200, {"tokens": tokens})
        query = parse.parse_qs(environ.get("QUERY_STRING", ""))
        return self._events(
            stream, int(query.get("from", ["0"])[0]), start_response
        )

    def _events(
        self,
        stream: engine_stream.EngineStream,
        first: int,
        start_response: Callable,
    ) -> Iterable[bytes]:
        start_response(
            "200 OK",
            [
                ("Content-Type", "text/event-stream"),
                ("X-Request-Id", stream.stream_id),
            ],
        )
        return self._event_lines(stream, first)

    def _event_lines(
        self, stream: engine_stream.EngineStream, first: int
    ) -> Iterator[bytes]:
        epoch = self.scheduler.behaviour.silent_epoch
        index = first
        while True:
            produced = stream.wait_for_more_tokens(index, STREAM_POLL_S)
            if epoch != self.scheduler.behaviour.silent_epoch:
                time.sleep(MAX_SILENCE_S)
            if produced > index:
                yield b"".join(
                    _chunk(stream, number) for number in range(index, produced)
                )
                index = produced
            elif stream.state == "crashed":
                raise ConnectionAbortedError(
                    errno.ECONNABORTED, "the engine has crashed"
                )
            elif stream.state != "running":
                yield _last_chunk(stream)
                return


def _completion(
    stream: engine_stream.EngineStream, model: str
) -> dict[str, Any]:
    return {
        "id": stream.stream_id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": model,
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
        "usage": _usage(stream),
    }


def _usage(stream: engine_stream.EngineStream) -> dict[str, int]:
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": stream.produced_tokens,
        "total_tokens": stream.prompt_tokens + stream.produced_tokens,
    }


def _chunk(stream: engine_stream.EngineStream, index: int) -> bytes:
    return _event(
        stream,
        {
            "index": 0,
            "delta": {"role": "assistant", "content": stream.token_text(index)},
            "finish_reason": None,
        },
        {"token_index": index},
    )


def _last_chunk(stream: engine_stream.EngineStream) -> bytes:
    reason = "stop" if stream.state == "finished" else "cancelled"
    last = _event(
        stream,
        {"index": 0, "delta": {}, "finish_reason": reason},
        {"usage": _usage(stream)},
    )
    return last + b"data: [DONE]\n\n"


def _event(
    stream: engine_stream.EngineStream,
    choice: dict[str, Any],
    more: dict[str, Any],
) -> bytes:
    value = {
        "id": stream.stream_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": "",
        "choices": [choice],
        **more,
    }
    return b"data: " + msgspec.json.encode(value) + b"\n\n"
