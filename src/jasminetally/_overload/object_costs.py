"""Memory that a client's input takes once it has been read.

The figures are those of CPython 3.11 on 64-bit machines, rounded up.
"""

from __future__ import annotations

# A connection with its transport, socket and parser.
CONNECTION_BYTES = 8_192
# A header beside its name and value: a pair, two objects and a place in a list.
HEADER_BYTES = 176
# A request beside its headers and body that waits for its turn.
REQUEST_BYTES = 1_024
# The same while it is handled: its task, its job and a connection to a server.
HANDLED_REQUEST_BYTES = 16_384
# Copies of the body of a request that is handled: the body, the request as it
# is sent, and what of that the operating system has not taken yet.
HANDLED_BODY_COPIES = 3
# Bytes of objects that a byte of a message between routers may become: lists of
# short strings are the worst.
MESSAGE_EXPANSION = 24
