"""What other routers know of the origins that recent streams may have."""

from __future__ import annotations

from collections.abc import Callable

from jasminetally._peers import peer_messages
from jasminetally._streams import stream_origin


class OriginSurvey:
    """Collects whether others agree that all streams have the same origin.

    Performs no I/O.

    Args:
        only: The only origin, as far as this router knows; None if there may be
            several.
        is_expired: Returns whether this router knows that no recent stream has
            an origin. Others may keep it for longer, since they have started
            later and read of it.
    """

    def __init__(
        self,
        only: stream_origin.StreamOrigin | None,
        is_expired: Callable[[stream_origin.StreamOrigin], bool],
    ) -> None:
        self._only = only
        self._is_expired = is_expired
        self._agreed = False
        self._contradicted = False

    def on_reply(self, reply: peer_messages.OriginFound | None) -> None:
        """Add the answer of a router that doesn't know the stream.

        One that has just started agrees with nothing, since it may not know
        of a second origin; but it contradicts if it knows one. One of an older
        build doesn't tell, and has always been taken to agree.

        Args:
            reply: The answer; None if there was none.
        """
        if reply is None:
            return
        if reply.recent is None:
            self._agreed = True
            return
        origins = {
            origin
            for pair in reply.recent
            if not self._is_expired(origin := stream_origin.StreamOrigin(*pair))
        }
        if origins - {self._only}:
            self._contradicted = True
        elif origins and reply.complete:
            self._agreed = True

    def confirms(self, *, hears_of_changes: bool) -> bool:
        """Return whether it is certain that there is only one origin.

        Args:
            hears_of_changes: Whether this router would have heard of a second
                one. It suffices where no other router answers.
        """
        return not self._contradicted and (self._agreed or hears_of_changes)
