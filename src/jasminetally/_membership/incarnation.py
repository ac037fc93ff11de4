"""Names of incarnations: ``instance#number``."""

from __future__ import annotations


def make_name(instance: str, number: int) -> str:
    """Return the name of an incarnation.

    Args:
        instance: Name of the instance.
        number: Version of the first write of the process to its
            ``router/<instance>`` object, which no other process gets.
    """
    return f"{instance}#{number}"


def instance_of(incarnation: str) -> str:
    """Return the instance that an incarnation runs on."""
    return incarnation.rpartition("#")[0]


def number_of(incarnation: str) -> int:
    """Return the start number of an incarnation.

    Raises:
        ValueError: The text names no incarnation.
    """
    instance, _, number = incarnation.rpartition("#")
    if not instance:
        raise ValueError(f"found {incarnation!r}; expected instance#number")
    return int(number)


def is_newer(incarnation: str, other: str) -> bool:
    """Return whether an incarnation replaced another of the same instance."""
    return instance_of(incarnation) == instance_of(other) and number_of(
        incarnation
    ) > number_of(other)
