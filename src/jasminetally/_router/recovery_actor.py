"""Actor that runs the recovery manager of a router."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
import pykka

from jasminetally._recovery import preparation_effects
from jasminetally._recovery import reclaim_effects
from jasminetally._recovery import recovery_manager
from jasminetally._recovery import recovery_policy
from jasminetally._router import recovery_messages

if TYPE_CHECKING:
    from jasminetally._recovery import router_recovery
    from jasminetally._router import recovery_io


class RecoveryActor(pykka.ThreadingActor):
    """Run the recovery manager in one thread.

    Messages are ``RecoveryTick`` and the events of the recovery manager.

    Args:
        incarnation: Incarnation of this router.
        io: Executes effects outside of this thread.
    """

    use_daemon_thread = True

    def __init__(self, *, incarnation: str, io: recovery_io.RecoveryIo) -> None:
        super().__init__()
        self._manager = recovery_manager.RecoveryManager(
            incarnation=incarnation, policy=recovery_policy.RecoveryPolicy()
        )
        self._io = io

    def on_receive(self, message: Any) -> None:
        """Handle one message."""
        now_s = time.monotonic()
        if isinstance(message, recovery_messages.RecoveryTick):
            self._execute_effects(self._manager.tick(now_s))
        else:
            self._execute_effects(self._manager.handle(message, now_s))

    def _execute_effects(self, effects: router_recovery.Effects) -> None:
        for effect in effects:
            logger.debug("recovery: executing {}", effect)
            match effect:
                case preparation_effects.AcknowledgeDeath():
                    # Done already: when the instance view confirmed the death,
                    # the control actor fenced the journal and published the
                    # status.
                    pass
                case preparation_effects.FetchJournal():
                    self._io.fetch_journal(self.actor_ref, effect)
                case preparation_effects.CancelStreams():
                    self._io.cancel_streams(self.actor_ref, effect)
                case reclaim_effects.ReclaimGrants(recovered):
                    self._io.reclaim_grants(self.actor_ref, recovered)
                case reclaim_effects.AnnounceRecovery(incarnation):
                    self._io.announce_recovery(incarnation)
                case reclaim_effects.DiscardJournal(incarnation):
                    self._io.discard_journal(incarnation)
