"""Encoding of messages as frames on the connections between routers."""

from __future__ import annotations

import struct

import msgspec

from jasminetally._peers import peer_messages

# The longest message holds the configuration of a large deployment, and the
# platform stores at most 1 MiB.
MAX_FRAME_BYTES = 4_194_304

# Length of the body and number of the call.
_HEADER = struct.Struct("!II")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(peer_messages.Message)


class FrameError(ValueError):
    """The received bytes are not a valid frame."""


class FrameReader:
    """Splits received bytes into messages with their call numbers."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def buffered_bytes(self) -> int:
        """Received bytes that are not decoded yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[tuple[int, peer_messages.Message]]:
        """Add received bytes and return the messages that they complete.

        Returns:
            Pairs of call number and message, in the order received.

        Raises:
            FrameError: A frame is too long or does not hold a message.
        """
        self.append(data)
        messages = []
        while self.next_length() is not None:
            messages.append(self.pop_message())
        return messages

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data

    def clear(self) -> None:
        """Drop all received bytes."""
        self._buffer.clear()

    def next_length(self) -> int | None:
        """Return the length of the next message; None if it is incomplete.

        Raises:
            FrameError: Its frame is too long.
        """
        if len(self._buffer) < _HEADER.size:
            return None
        length, _ = _HEADER.unpack_from(self._buffer)
        if length > MAX_FRAME_BYTES:
            raise FrameError(
                f"frame too long: its header announces {length} bytes, "
                f"at most {MAX_FRAME_BYTES} are accepted"
            )
        return length if len(self._buffer) >= _HEADER.size + length else None

    def pop_message(self) -> tuple[int, peer_messages.Message]:
        """Remove the next message, which is complete, and return it.

        Returns:
            The call number and the message.

        Raises:
            FrameError: The frame does not hold a message.
        """
        length, call_number = _HEADER.unpack_from(self._buffer)
        end = _HEADER.size + length
        body = bytes(self._buffer[_HEADER.size : end])
        del self._buffer[:end]
        try:
            return call_number, _DECODER.decode(body)
        except msgspec.MsgspecError as exc:
            raise FrameError(
                f"frame of {length} bytes does not hold a valid message: {exc}"
            ) from exc


def encode(call_number: int, message: peer_messages.Message) -> bytes:
    """Return the frame of a message.

    Args:
        call_number: Number of the call; its answer carries the same number.
        message: Message to send.
    """
    body = _ENCODER.encode(message)
    return _HEADER.pack(len(body), call_number) + body
