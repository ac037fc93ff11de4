"""Names of incarnations, in the form ``instance#number``."""

from __future__ import annotations


def make_name(instance: str, number: int) -> str:
    """Return the name of an incarnation.

    Args:
        instance: Name of the instance.
        number: Version of the ``router/<instance>`` object after the first
            write of the process. No other process gets the same one.
    """
    return f"{instance}#{number}"


def instance_of(incarnation: str) -> str:
    """Return the instance on which an incarnation runs."""
    return incarnation.rpartition("#")[0]


def number_of(incarnation: str) -> int:
    """Return the number of an incarnation.

    Raises:
        ValueError: The text has not the form ``instance#number``.
    """
    instance, _, number = incarnation.rpartition("#")
    if not instance:
        raise ValueError(
            f"invalid incarnation {incarnation!r}: expected instance#number"
        )
    return int(number)


def is_newer(incarnation: str, other: str) -> bool:
    """Return whether an incarnation is a later one of the same instance."""
    return instance_of(incarnation) == instance_of(other) and number_of(
        incarnation
    ) > number_of(other)
