"""Validation and filtering of the events of one answer stream."""

from __future__ import annotations

from typing import Any

import msgspec

from jasminetally._router import stream_fault

EVENT_END = b"\n\n"
# Finish reason of an engine whose stream was cancelled, for instance by another
# router.
CANCELLED_FINISH_REASON = "cancelled"
MAX_EVENT_BYTES = 1_000_000
DONE_EVENT = b"data: [DONE]"
# Compact JSON that occurs in each event before the end of an answer and in no
# other. The quotes would be escaped inside a string, so the bytes can't occur
# in generated text.
CONTENT_EVENT_MARKER = b'"finish_reason":null'


class EventFilter:
    """Relay the events of one attempt and hold back the end of the answer.

    The end, from the event with the finish reason on, is held back until the
    request is settled. Each event must contain the id of its attempt, which is
    replaced by the id that the caller sees. Events in compact JSON are
    recognised by a search for bytes, since decoding each of them costs several
    times as much.

    Args:
        attempt: Id of the attempt, which the engine echoes in ``id``.
        request_id: Id that the caller sees.
        keep_events: Whether to keep all relayed events in ``kept_events`` for a
            later replay.
        relayed_events: Content events that earlier attempts of the stream have
            relayed.

    Attributes:
        relayed_events: Number of content events relayed, those of earlier
            attempts included.
        kept_events: Relayed events, if they are kept.
        finish_reason: Finish reason of the engine; None until the end.
        usage: Usage object of the engine; None until it has arrived.
        done: Whether the last event of the stream has arrived.
    """

    def __init__(
        self,
        attempt: str,
        request_id: str,
        *,
        keep_events: bool,
        relayed_events: int = 0,
    ) -> None:
        self.relayed_events = relayed_events
        self.kept_events: list[bytes] = []
        self.finish_reason: str | None = None
        self.usage: dict[str, int] | None = None
        self.done = False
        self._attempt = attempt
        self._attempt_marker = b'"id":"%b"' % attempt.encode()
        self._request_marker = b'"id":"%b"' % request_id.encode()
        self._request_id = request_id
        self._keep_events = keep_events
        self._incomplete_event = b""
        self._first_event_checked = False

    def feed(self, data: bytes) -> bytes:
        """Process bytes of the stream and return those to relay now.

        Raises:
            StreamFaultError: An event belongs to another attempt, reports an
                error, is malformed or too large, or is out of order.
        """
        if self._incomplete_event:
            data = self._incomplete_event + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._incomplete_event = data
            if len(data) > MAX_EVENT_BYTES:
                raise _wrong_stream_fault(f"event exceeds {MAX_EVENT_BYTES} B")
            return b""
        self._incomplete_event = data[end:]
        events = data[:end]
        count = events.count(EVENT_END)
        if (
            not self._first_event_checked
            or events.count(self._attempt_marker) != count
            or events.count(b"data: {") != count
            or events.count(CONTENT_EVENT_MARKER) != count
        ):
            return self._feed_decoded(events)
        return self._record_relayed(
            events.replace(self._attempt_marker, self._request_marker), count
        )

    def _record_relayed(self, events: bytes, count: int) -> bytes:
        self.relayed_events += count
        if self._keep_events:
            self.kept_events.append(events)
        return events

    def _feed_decoded(self, events: bytes) -> bytes:
        self._first_event_checked = True
        out = []
        for event in events.split(EVENT_END):
            if event:
                out.append(self._relay_event(event))
        return b"".join(out)

    def _relay_event(self, event: bytes) -> bytes:
        if self.done:
            raise _wrong_stream_fault("event follows the end of the stream")
        if event.startswith(b":"):
            return b""
        if event.rstrip() == DONE_EVENT:
            self.done = True
            return b""
        try:
            chunk = msgspec.json.decode(event.removeprefix(b"data:"))
            return self._relay_chunk(chunk)
        except (msgspec.DecodeError, LookupError, TypeError) as exc:
            raise _wrong_stream_fault(
                f"event {event[:80]!r} is malformed: {exc}"
            ) from exc

    def _relay_chunk(self, chunk: dict[str, Any]) -> bytes:
        if "error" in chunk:
            raise _wrong_stream_fault(f"engine reported {chunk['error']!r}")
        if chunk["id"] != self._attempt:
            raise _wrong_stream_fault(
                f"event of attempt {chunk['id']!r} arrived, "
                f"expected {self._attempt!r}"
            )
        if chunk.get("usage"):
            self.usage = chunk["usage"]
        choices = chunk.get("choices") or []
        reason = choices[0].get("finish_reason") if choices else None
        if reason == CANCELLED_FINISH_REASON:
            raise _wrong_stream_fault(
                "the engine reports that the stream was cancelled"
            )
        if "token_index" in chunk:
            self._check_index(chunk.pop("token_index"))
        if reason and not self.finish_reason:
            self.finish_reason = reason
            # An event with a finish reason may have content too. It is relayed
            # as a content event, and the finish reason is sent once the request
            # is settled.
            choices[0]["finish_reason"] = None
        if not choices or (reason and not choices[0]["delta"].get("content")):
            return b""
        chunk["id"] = self._request_id
        chunk.pop("usage", None)
        encoded = b"data: " + msgspec.json.encode(chunk) + EVENT_END
        return self._record_relayed(encoded, 1)

    def _check_index(self, index: int) -> None:
        if index != self.relayed_events:
            raise _wrong_stream_fault(
                f"token {index} arrived, expected token {self.relayed_events}"
            )


def _wrong_stream_fault(message: str) -> stream_fault.StreamFaultError:
    return stream_fault.StreamFaultError(message, kind="WRONG_ID")
