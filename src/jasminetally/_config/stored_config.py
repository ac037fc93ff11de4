"""Configuration as it is stored on the platform."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import applied_revision
from jasminetally._config import manifest


class StoredConfig(NamedTuple):
    """Content of the platform object ``config/current``.

    Attributes:
        schema: Version number of this encoding.
        revision: Revision of the manifest.
        operation: Identifier of the run of ``apply`` that wrote the object.
            A run that got no reply to its write recognises it by this.
        applied_by: Operator or pipeline that ran ``apply``.
        applied_at_s: Time of that run, seconds since 1970 UTC, by the clock
            of the machine that ran it.
        manifest: Manifest that was applied.
        history: Earlier writes, latest last. A run that got no reply finds
            its write here if another write has replaced it since.
    """

    schema: int
    revision: int
    operation: str
    applied_by: str
    applied_at_s: float
    manifest: manifest.Manifest
    history: tuple[applied_revision.AppliedRevision, ...] = ()
