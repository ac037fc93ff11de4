"""Entry point of a router process."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import NoReturn

from jasminetally._forward import node as node_lib
from jasminetally._forward import node_settings
from jasminetally._forward import platform_codec
from jasminetally._observe import event_log
from jasminetally._platform import port

EXIT_OK = 0


def run_router(
    settings: node_settings.NodeSettings,
    platform: port.PlatformPort,
    codec: platform_codec.PlatformCodec,
) -> NoReturn:
    """Run a router until SIGTERM or SIGINT, then exit the process.

    The process exits without joining its threads: one that waits in a watch of
    the store would delay the exit by up to 15 s, and the platform starts a
    replacement only after the exit.

    Args:
        settings: Settings of the router.
        platform: The platform's store.
        codec: Formats and header names of the platform.
    """
    log = event_log.EventLog(sys.stdout.fileno(), node=settings.node)
    asyncio.run(
        _run_until_stopped(node_lib.Node(settings, platform, codec, log))
    )
    log.close()
    os._exit(EXIT_OK)


async def _run_until_stopped(router: node_lib.Node) -> None:
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, router.stop)
    loop.add_signal_handler(signal.SIGINT, router.stop)
    loop.add_signal_handler(signal.SIGHUP, router.reload)
    await router.run()
