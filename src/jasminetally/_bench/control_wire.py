"""Peer messages of the control bench, encoded as on the wire."""

from __future__ import annotations

from thrift.protocol import TBinaryProtocol
from thrift.transport import TTransport

from jasminetally._membership import router_state
from jasminetally._router import gossip_codec
from jasminetally._wire.gen.peer import Peer
from jasminetally._wire.gen.peer import ttypes

# Length of the frame header of the peer transport.
FRAME_HEADER_BYTES = 4


class ProbeHandler:
    """Replies to probes with the state of a ready router."""

    def __init__(self, incarnation: str) -> None:
        self.sender = ttypes.Sender(
            incarnation=incarnation, address="127.0.0.1:7000", revision=1
        )
        state = gossip_codec.SenderState(router_state.RouterState.READY, 0.5)
        self.news = gossip_codec.encode_items(incarnation, state, ())

    def probe(
        self, sender: ttypes.Sender, news: list[ttypes.NewsItem]
    ) -> ttypes.ProbeReply:
        """Decode the state and evidence of a probe and return the reply."""
        gossip_codec.decode_state(news)
        gossip_codec.decode_evidence(news)
        return ttypes.ProbeReply(
            sender=self.sender, state="ready", news=self.news
        )


def encode_probe(handler: ProbeHandler) -> bytes:
    """Return an encoded probe from a router."""
    buffer = TTransport.TMemoryBuffer()
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(buffer)
    Peer.Client(protocol).send_probe(handler.sender, handler.news)
    return bytes(FRAME_HEADER_BYTES) + buffer.getvalue()


def encode_reply(handler: ProbeHandler, message: bytes) -> bytes:
    """Return a router's encoded reply to an encoded probe."""
    received = TTransport.TMemoryBuffer(message[FRAME_HEADER_BYTES:])
    buffer = TTransport.TMemoryBuffer()
    Peer.Processor(handler).process(
        TBinaryProtocol.TBinaryProtocolAccelerated(received),
        TBinaryProtocol.TBinaryProtocolAccelerated(buffer),
    )
    return bytes(FRAME_HEADER_BYTES) + buffer.getvalue()


def decode_reply(message: bytes) -> ttypes.ProbeReply:
    """Return the decoded reply to a probe."""
    received = TTransport.TMemoryBuffer(message[FRAME_HEADER_BYTES:])
    protocol = TBinaryProtocol.TBinaryProtocolAccelerated(received)
    return Peer.Client(protocol).recv_probe()
