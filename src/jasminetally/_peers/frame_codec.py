"""Frames on the connections between routers."""

from __future__ import annotations

import struct

import msgspec

from jasminetally._peers import peer_messages

# Largest frame; the configuration of a large deployment is the longest
# message and the platform stores at most 1 MiB.
FRAME_LIMIT_BYTES = 4_194_304

_HEAD = struct.Struct("!II")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(peer_messages.Message)


class FrameError(ValueError):
    """The bytes are not a frame of a router."""


class FrameReader:
    """Split received bytes into messages with their call numbers."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[tuple[int, peer_messages.Message]]:
        """Return the messages that are complete with these bytes.

        Raises:
            FrameError: A frame is too long or not a message.
        """
        self._buffer += data
        found = []
        while len(self._buffer) >= _HEAD.size:
            length, number = _HEAD.unpack_from(self._buffer)
            if length > FRAME_LIMIT_BYTES:
                raise FrameError(
                    f"frame of {length} bytes; "
                    f"at most {FRAME_LIMIT_BYTES} are accepted"
                )
            end = _HEAD.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[_HEAD.size : end])
            del self._buffer[:end]
            try:
                found.append((number, _DECODER.decode(body)))
            except msgspec.MsgspecError as exc:
                raise FrameError(f"frame is not a message: {exc}") from exc
        return found


def encode(number: int, message: peer_messages.Message) -> bytes:
    """Return the frame of a message.

    Args:
        number: Number of the call; the answer has the same one.
        message: Message to send.
    """
    body = _ENCODER.encode(message)
    return _HEAD.pack(len(body), number) + body
