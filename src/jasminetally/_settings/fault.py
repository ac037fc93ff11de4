"""Fault in a settings file or a manifest."""

from __future__ import annotations

from typing import NamedTuple


class Fault(NamedTuple):
    """Invalid value, missing key or unknown key in a settings file or manifest.

    Attributes:
        key_path: Keys and list indexes that lead from the top level of the
            file to the fault; empty for the top level itself.
        found: What the file contains at the key path.
        accepted: What is accepted at the key path.
    """

    key_path: tuple[str | int, ...]
    found: str
    accepted: str

    def describe(self, file: str) -> str:
        """Return one line with file, key path, found and accepted values."""
        return (
            f"{file}: {self.format_key_path()}: found {self.found}; "
            f"accepted: {self.accepted}"
        )

    def format_key_path(self) -> str:
        """Return the key path as text.

        For example ``client_accounts.bled.key_hashes[0]``.
        """
        text = ""
        for part in self.key_path:
            if isinstance(part, int):
                text += f"[{part}]"
            else:
                text += f".{part}" if text else str(part)
        return text or "top level"
