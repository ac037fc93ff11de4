"""Entry point of ``python -m jasminetally``."""

from __future__ import annotations

import sys


def main() -> int:
    """Run the command-line interface and return its exit code."""
    from jasminetally._cli import application

    return application.run_application()


if __name__ == "__main__":
    sys.exit(main())
