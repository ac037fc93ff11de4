"""Tests of labels that stand for versions."""

from __future__ import annotations

import pytest

from jasminetally._placing import server_process
from jasminetally._streams import process_label


def test_label_names_its_process():
    """Guards against streams that can't be assigned to a version later."""
    process = server_process.ServerProcess("i-7f3a91c2", 1_790_000_000_000)
    assert process_label.decode(process_label.encode(process)) == process


@pytest.mark.parametrize("version", [None, "", "v1", "process 2", "process a"])
def test_version_is_no_label(version):
    """Guards against versions that are taken for processes."""
    assert process_label.decode(version) is None
