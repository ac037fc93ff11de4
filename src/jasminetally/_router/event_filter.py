"""Check of the events of one answer stream."""

from __future__ import annotations

from typing import Any

import msgspec

from jasminetally._router import stream_fault

EVENT_END = b"\n\n"
# Finish reason of an engine whose stream was cancelled by someone.
CANCELLED = "cancelled"
EVENT_LIMIT_BYTES = 1_000_000
DONE = b"data: [DONE]"
# Compact JSON that each event before the end of an answer has, and no other.
# Inside a string the quotes would be escaped, so the bytes can't occur in
# generated text.
CONTENT_MARK = b'"finish_reason":null'


class EventFilter:
    """Pass on the events of one attempt and hold back the end of the answer.

    The end (from the event with the finish reason on) is held until the
    request is settled. Each event must echo the id of its attempt; it is
    replaced by the id that the caller sees. Compact events are recognised by
    a search for bytes, since decoding each one costs several times as much.

    Args:
        attempt: Id of the attempt, echoed in ``id``.
        request: Id that the caller sees.
        keep: Keep all passed events in ``kept`` for a later replay.
        passed: Content events that earlier attempts of the stream passed on.

    Attributes:
        passed: Content events passed on.
        kept: The events passed on, if wanted.
        finish_reason: Reason given by the engine; None until the end.
        usage: Usage object of the engine; None until it has arrived.
        done: The stream's last event has arrived.
    """

    def __init__(
        self, attempt: str, request: str, *, keep: bool, passed: int = 0
    ) -> None:
        self.passed = passed
        self.kept: list[bytes] = []
        self.finish_reason: str | None = None
        self.usage: dict[str, int] | None = None
        self.done = False
        self._attempt = attempt
        self._mark = b'"id":"%b"' % attempt.encode()
        self._caller_mark = b'"id":"%b"' % request.encode()
        self._request = request
        self._keep = keep
        self._rest = b""
        self._start_checked = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes of the stream and return those to pass on now.

        Raises:
            StreamFaultError: An event belongs to another attempt, reports an
                error, or is not an event.
        """
        if self._rest:
            data = self._rest + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._rest = data
            if len(data) > EVENT_LIMIT_BYTES:
                raise _wrong(f"event exceeds {EVENT_LIMIT_BYTES} B")
            return b""
        self._rest = data[end:]
        events = data[:end]
        count = events.count(EVENT_END)
        if (
            not self._start_checked
            or events.count(self._mark) != count
            or events.count(b"data: {") != count
            or events.count(CONTENT_MARK) != count
        ):
            return self._feed_slowly(events)
        return self._pass(events.replace(self._mark, self._caller_mark), count)

    def _pass(self, events: bytes, count: int) -> bytes:
        self.passed += count
        if self._keep:
            self.kept.append(events)
        return events

    def _feed_slowly(self, events: bytes) -> bytes:
        self._start_checked = True
        out = []
        for event in events.split(EVENT_END):
            if event:
                out.append(self._take(event))
        return b"".join(out)

    def _take(self, event: bytes) -> bytes:
        if self.done:
            raise _wrong("event follows the end of the stream")
        if event.startswith(b":"):
            return b""
        if event.rstrip() == DONE:
            self.done = True
            return b""
        try:
            value = msgspec.json.decode(event.removeprefix(b"data:"))
            return self._take_value(value)
        except (msgspec.DecodeError, LookupError, TypeError) as exc:
            raise _wrong(f"event {event[:80]!r} is malformed: {exc}") from exc

    def _take_value(self, value: dict[str, Any]) -> bytes:
        if "error" in value:
            raise _wrong(f"engine reported {value['error']!r}")
        if value["id"] != self._attempt:
            raise _wrong(
                f"event of attempt {value['id']!r} arrived, "
                f"expected {self._attempt!r}"
            )
        if value.get("usage"):
            self.usage = value["usage"]
        choices = value.get("choices") or []
        reason = choices[0].get("finish_reason") if choices else None
        if reason == CANCELLED:
            raise _wrong("engine cancelled the stream")
        if "token_index" in value:
            self._check_index(value.pop("token_index"))
        if reason and not self.finish_reason:
            self.finish_reason = reason
            # A finishing event may carry content too; it is passed on as a
            # content event, and the finish is written when it is settled.
            choices[0]["finish_reason"] = None
        if not choices or (reason and not choices[0]["delta"].get("content")):
            return b""
        value["id"] = self._request
        value.pop("usage", None)
        encoded = b"data: " + msgspec.json.encode(value) + EVENT_END
        return self._pass(encoded, 1)

    def _check_index(self, index: int) -> None:
        if index != self.passed:
            raise _wrong(f"token {index} arrived, expected token {self.passed}")


def _wrong(message: str) -> stream_fault.StreamFaultError:
    return stream_fault.StreamFaultError(message, kind="WRONG_ID")
