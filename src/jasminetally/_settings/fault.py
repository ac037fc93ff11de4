"""Fault found in a file that an operator wrote."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """Fault found in a settings file or a manifest.

    Attributes:
        path: Keys and list positions from the top of the file to the fault.
        found: What the file contains there.
        accepted: What would be accepted there.
    """

    key_path: tuple[str | int, ...]
    found: str
    accepted: str

    def describe(self, file: str) -> str:
        """Return one line that names the file, the place and the remedy."""
        return (
            f"{file}: {self.format_key_path()}: found {self.found}; "
            f"accepted: {self.accepted}"
        )

    def format_key_path(self) -> str:
        """Return the path as ``client_accounts.bled.key_hashes[0]``."""
        text = ""
        for part in self.key_path:
            if isinstance(part, int):
                text += f"[{part}]"
            else:
                text += f".{part}" if text else str(part)
        return text or "top level"
