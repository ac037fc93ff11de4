"""Router as a process."""

from __future__ import annotations

import signal
import sys
import threading
from typing import NamedTuple

from jasminetally import _errors
from jasminetally._observe import logs
from jasminetally._router import router_daemon
from jasminetally._settings import settings_file

EXIT_SETTINGS_ERROR = 2


class AddressOverrides(NamedTuple):
    """Addresses that replace those in the settings file.

    Attributes:
        http: Address for callers, or None.
        peer: Address for other routers, or None.
    """

    http: str | None = None
    peer: str | None = None


NO_OVERRIDES = AddressOverrides()


def run_router(file: str, overrides: AddressOverrides = NO_OVERRIDES) -> int:
    """Run a router until SIGTERM or SIGINT.

    Once both addresses are bound, it prints the address for callers and the
    address for other routers on the first line of standard output.

    Args:
        file: Path of the settings file.
        overrides: Addresses that replace those in the file.

    Returns:
        Exit code: 0 after a drain, 1 if another process runs the instance, 2 on
        invalid settings or an address that can't be bound.
    """
    try:
        settings = settings_file.load_router_settings(file)
    except _errors.SettingsError as exc:
        print(exc, file=sys.stderr)
        return EXIT_SETTINGS_ERROR
    settings = settings._replace(
        http_address=overrides.http or settings.http_address,
        peer_address=overrides.peer or settings.peer_address,
    )
    logs.configure_logging(log_format=settings.log_format)
    try:
        router = router_daemon.RouterDaemon(settings)
        router.bind()
    except OSError as exc:
        print(
            f"can't bind {settings.http_address} or "
            f"{settings.peer_address}: {exc}",
            file=sys.stderr,
        )
        return EXIT_SETTINGS_ERROR
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: router.terminate())
    print(router.http_address, router.peer_address, flush=True)
    threading.Thread(target=router.start, daemon=True).start()
    code = router.wait()
    router.stop()
    return code
