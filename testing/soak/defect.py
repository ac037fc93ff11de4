"""Defects of the product that the soak has to find."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from testing.soak import rule as rule_lib


class Defect(NamedTuple):
    """Defect that is put into a router's process.

    Attributes:
        name: Name on the command line.
        breaks: What is broken: a rule, or what else the soak checks.
        apply: Replaces attributes of the product's classes or modules.
    """

    name: str
    breaks: rule_lib.Rule | str
    apply: Callable[[], None]
