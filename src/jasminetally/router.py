"""Entry point of the router daemon: ``python -m jasminetally.router SETTINGS``.

Runs the same router as ``jasminetally router SETTINGS``, but does not import
the libraries of the command line, which saves memory.
"""

from __future__ import annotations

import sys

from jasminetally._router import router_process

if __name__ == "__main__":
    if len(sys.argv) != 2:
        sys.exit("usage: python -m jasminetally.router SETTINGS")
    sys.exit(router_process.run_router(sys.argv[1]))
