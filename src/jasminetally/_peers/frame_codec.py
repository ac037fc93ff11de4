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

    def feed(self, data: bytes) -> list[tuple[int, peer_messages.Message]]:
        """Add received bytes and return the messages that they complete.

        Returns:
            Pairs of call number and message, in the order received.

        Raises:
            FrameError: A frame is too long or does not hold a message.
        """
        self._buffer += data
        messages = []
        while len(self._buffer) >= _HEADER.size:
            length, call_number = _HEADER.unpack_from(self._buffer)
            if length > MAX_FRAME_BYTES:
                raise FrameError(
                    f"frame too long: its header announces {length} bytes, "
                    f"at most {MAX_FRAME_BYTES} are accepted"
                )
            end = _HEADER.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[_HEADER.size : end])
            del self._buffer[:end]
            try:
                messages.append((call_number, _DECODER.decode(body)))
            except msgspec.MsgspecError as exc:
                raise FrameError(
                    f"frame of {length} bytes does not hold a valid message: "
                    f"{exc}"
                ) from exc
        return messages


def encode(call_number: int, message: peer_messages.Message) -> bytes:
    """Return the frame of a message.

    Args:
        call_number: Number of the call; its answer carries the same number.
        message: Message to send.
    """
    body = _ENCODER.encode(message)
    return _HEADER.pack(len(body), call_number) + body
