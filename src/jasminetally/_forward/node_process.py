"""Main function of a router process."""

from __future__ import annotations

import asyncio
import signal
import sys

from jasminetally._forward import node as node_lib
from jasminetally._forward import node_settings
from jasminetally._forward import platform_codec
from jasminetally._observe import event_log
from jasminetally._platform import port


def run(
    settings: node_settings.NodeSettings,
    platform: port.PlatformPort,
    codec: platform_codec.PlatformCodec,
) -> None:
    """Run a router until SIGTERM or SIGINT.

    Args:
        settings: Settings.
        platform: The platform's store.
        codec: Formats of the platform.
    """
    log = event_log.EventLog(sys.stdout.fileno(), node=settings.node)
    asyncio.run(_run(node_lib.Node(settings, platform, codec, log)))
    log.close()


async def _run(router: node_lib.Node) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, router.stop)
    loop.add_signal_handler(signal.SIGINT, router.stop)
    loop.add_signal_handler(signal.SIGHUP, router.reload)
    await router.run()
