"""Stored form of the configuration."""

from __future__ import annotations

from typing import NamedTuple

from jasminetally._config import applied_revision
from jasminetally._config import manifest


class StoredConfig(NamedTuple):
    """Content of the platform object ``config/current``.

    Attributes:
        schema: Number of this form.
        revision: Revision of the manifest.
        operation: Identifier of the run of ``apply`` that wrote it, by which
            that run recognises its own write after a lost reply.
        applied_by: Who ran ``apply``.
        applied_at_s: When, seconds since 1970 UTC, by that machine's clock.
        manifest: The manifest.
        history: Earlier writes, latest last, so that a run whose reply was
            lost finds its write also after the next one.
    """

    schema: int
    revision: int
    operation: str
    applied_by: str
    applied_at_s: float
    manifest: manifest.Manifest
    history: tuple[applied_revision.AppliedRevision, ...] = ()
