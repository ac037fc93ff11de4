"""Peer messages of the control bench in their real encoding."""

from __future__ import annotations

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from jasminetally._membership import router_state
from jasminetally._router import gossip_codec
from jasminetally._wire.gen.peer import Peer
from jasminetally._wire.gen.peer import ttypes

# Frame header of the peer transport.
FRAME_HEADER_BYTES = 4


class ProbeHandler:
    """Answer probes with the state of a ready router."""

    def __init__(self, incarnation: str) -> None:
        self.sender = ttypes.Sender(
            incarnation=incarnation, address="127.0.0.1:7000", revision=1
        )
        state = gossip_codec.SenderState(router_state.RouterState.READY, 0.5)
        self.news = gossip_codec.encode_items(incarnation, state, ())

    def probe(
        self, sender: ttypes.Sender, news: list[ttypes.NewsItem]
    ) -> ttypes.ProbeReply:
        """Take a probe."""
        gossip_codec.decode_state(news)
        gossip_codec.decode_evidence(news)
        return ttypes.ProbeReply(
            sender=self.sender, state="ready", news=self.news
        )


def encode_probe(handler: ProbeHandler) -> bytes:
    """Return an encoded probe of a router."""
    buffer = TTransport.TMemoryBuffer()
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(buffer)
    Peer.Client(protocol).send_probe(handler.sender, handler.news)
    return bytes(FRAME_HEADER_BYTES) + buffer.getvalue()


def encode_reply(handler: ProbeHandler, message: bytes) -> bytes:
    """Return a router's encoded reply to a message."""
    received = TTransport.TMemoryBuffer(message[FRAME_HEADER_BYTES:])
    buffer = TTransport.TMemoryBuffer()
    Peer.Processor(handler).process(
        TBinaryProtocol.TBinaryProtocolAccelerated(received),
        TBinaryProtocol.TBinaryProtocolAccelerated(buffer),
    )
    return bytes(FRAME_HEADER_BYTES) + buffer.getvalue()


def decode_reply(message: bytes) -> ttypes.ProbeReply:
    """Return the reply to a probe."""
    received = TTransport.TMemoryBuffer(message[FRAME_HEADER_BYTES:])
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(received)
    return Peer.Client(protocol).recv_probe()
