"""Tests of loading and checking a manifest file."""

from __future__ import annotations

import contextlib
import copy
import functools
import operator
import pathlib

import hypothesis
from hypothesis import strategies as st
import pytest
import yaml

from jasminetally import _errors
from jasminetally._config import manifest_file

EXAMPLE_MANIFEST = (
    pathlib.Path(__file__).parents[2] / "docs" / "examples" / "manifest.yaml"
)


@pytest.fixture
def content():
    return yaml.safe_load(EXAMPLE_MANIFEST.read_text())


def faults_of(content):
    with pytest.raises(_errors.SettingsError) as caught:
        manifest_file.convert_manifest(content, "m.yaml")
    return str(caught.value).splitlines()


def test_example_manifest_is_valid():
    """Guards against an example in the documentation that is invalid."""
    loaded = manifest_file.load_manifest(str(EXAMPLE_MANIFEST))
    account = loaded.client_accounts["hotel-bled"]
    assert account.budgets["shifts"].paid_in == 450_000
    assert loaded.events["bled-night-shift"].start_s == 1809201600.0
    assert loaded.orders["engine-2"].adapters == {"hotel-tone": "2"}


def test_all_faults_are_reported_in_one_run(content):
    """Guards against a check that stops at the first fault."""
    account = content["client_accounts"]["hotel-bled"]
    account["budgets"]["shifts"]["top_ups"][1]["tokens"] = -5
    account["default_budget"] = "gone"
    del content["tiers"]["desk"]["limit_s"]
    content["tiers"]["desk"]["limits"] = 3
    content["backend_servers"]["engine-2"]["address"] = "engine-2:9002"
    content["orders"]["engine-9"] = {"model": "notes-8b", "version": "1"}
    assert faults_of(content) == [
        "m.yaml: backend_servers.engine-2.address: found 'engine-2:9002'; "
        "accepted: an IP address and a port, such as 10.0.0.7:8080",
        "m.yaml: client_accounts.hotel-bled.budgets.shifts.top_ups[1].tokens:"
        " found -5; accepted: an integer from 1 to 1000000000000",
        "m.yaml: client_accounts.hotel-bled.default_budget: found 'gone'; "
        "accepted: one that is declared (general, shifts)",
        "m.yaml: orders.engine-9.model: found 'notes-8b'; "
        "accepted: one that is declared (notes-7b)",
        "m.yaml: orders.engine-9: found 'engine-9'; "
        "accepted: one that is declared (engine-1, engine-2)",
        "m.yaml: tiers.desk.limit_s: found no such key; "
        "accepted: this key, which is required",
        "m.yaml: tiers.desk.limits: found an unknown key; "
        "accepted: default_max_tokens, kind, limit_s, priority",
    ]


@pytest.mark.parametrize(
    ("path", "value", "accepted"),
    [
        ("revision", True, "an integer from 1"),
        ("revision", 0, "an integer from 1"),
        ("based_on", 1, "a number above based_on"),
        ("tiers/desk/limit_s", float("nan"), "a number from 0.01"),
        ("tiers/desk/kind", "fast", "one of live, overnight"),
        ("tiers", None, "a mapping"),
        ("tiers", ["desk"], "a mapping"),
        ("models/notes-7b", 7, "a mapping"),
        ("events/catalogue-print/start", "2027-05-02T04:30:00", "a UTC"),
        ("events/catalogue-print/start", "2027-05-02T04:30+02:00", "a UTC"),
        ("events/catalogue-print/budget", "shifts", "captions"),
        ("events/catalogue-print/default_tier", "x", "desk, night"),
        ("client_accounts/studio-brera/key_hashes", ["sk-1"], "SHA-256"),
        ("backend_servers/engine-1/service", "board", "no such key"),
        ("backend_servers/board-1/model", "notes-7b", "no such key"),
        ("backend_servers/engine-2/address", "127.0.0.1:9001", "no other"),
        ("backend_servers/engine-2/address", "127.0.0.1:0", "an IP"),
        ("client_accounts/a b", {}, "letters, digits"),
        ("client_accounts/", {}, "letters, digits"),
    ],
)
def test_invalid_value_is_reported_with_what_is_accepted(
    content, path, value, accepted
):
    """Guards against a value that routers would interpret differently."""
    *above, last = path.split("/")
    part = functools.reduce(operator.getitem, above, content)
    part[last] = value
    assert any(accepted in line for line in faults_of(content))


@pytest.mark.parametrize("name", ["a/b", False, 7])
def test_name_that_cannot_be_part_of_an_object_key_is_rejected(content, name):
    """Guards against names with a slash, and YAML's no and on as names."""
    content["client_accounts"][name] = {}
    assert any(
        "put yes, no and on in quotes" in line for line in faults_of(content)
    )


def test_key_hash_shared_by_two_client_accounts_is_rejected(content):
    """Guards against requests billed to the wrong client account."""
    accounts = content["client_accounts"]
    accounts["copy"] = copy.deepcopy(accounts["hotel-bled"])
    (line,) = faults_of(content)
    assert "copy.key_hashes[0]: found a key hash that hotel-bled has" in line


def test_duplicate_top_up_id_in_a_budget_is_rejected(content):
    """Guards against a top-up that is ignored as already credited."""
    budget = content["client_accounts"]["hotel-bled"]["budgets"]["shifts"]
    budget["top_ups"][1]["id"] = budget["top_ups"][0]["id"]
    (line,) = faults_of(content)
    assert "top_ups[1].id" in line


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("a: [1", "line 2"),
        ("tiers: {a: 1, a: 2}", "key 'a' twice"),
        ("- 1", "found list"),
        ("", "found NoneType"),
        ("a: 2027-13-01", "month"),
        ("a: !!python/object:os.system x", "could not determine"),
        ("[" * 5000, "nesting depth|cannot be read"),
    ],
)
def test_text_that_is_not_a_mapping_is_rejected(tmp_path, text, found):
    """Guards against a traceback instead of an error for the file."""
    file = tmp_path / "m.yaml"
    file.write_text(text)
    with pytest.raises(_errors.SettingsError, match=found):
        manifest_file.load_manifest(str(file))


def test_faults_in_several_items_of_a_list_are_all_reported(content):
    """Guards against a list check that stops at its first bad item."""
    account = content["client_accounts"]["hotel-bled"]
    account["key_hashes"] = ["x", "y"]
    account["budgets"]["shifts"]["top_ups"] = [
        {"id": "one", "tokens": 0},
        {"id": "/", "token": 1},
    ]
    path = "m.yaml: client_accounts.hotel-bled."
    assert [line.removeprefix(path) for line in faults_of(content)] == [
        "budgets.shifts.top_ups[0].tokens: found 0; "
        "accepted: an integer from 1 to 1000000000000",
        "budgets.shifts.top_ups[1].id: found '/'; accepted: 1 to 63 letters, "
        "digits, '.', '_' or '-', starting with a letter or digit "
        "(put yes, no and on in quotes)",
        "budgets.shifts.top_ups[1].token: found an unknown key; "
        "accepted: id, tokens",
        "budgets.shifts.top_ups[1].tokens: found no such key; "
        "accepted: this key, which is required",
        "key_hashes[0]: found 'x'; "
        "accepted: SHA-256 of a key, 64 lower-case hex digits",
        "key_hashes[1]: found 'y'; "
        "accepted: SHA-256 of a key, 64 lower-case hex digits",
    ]


UNEXPECTED_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=3),
    st.dates(),
    st.datetimes(),
    st.builds(lambda: [[]]),
    st.builds(lambda: {"x": {1: []}}),
    st.builds(lambda: {None: {}}),
)


def find_items(part):
    """Return each nested item as its container and its key or index."""
    found = []
    if isinstance(part, dict | list):
        keys = list(part) if isinstance(part, dict) else range(len(part))
        for key in keys:
            found += [(part, key), *find_items(part[key])]
    return found


@hypothesis.settings(derandomize=True, database=None, deadline=None)
@hypothesis.given(st.data(), st.integers(1, 4))
def test_any_content_is_converted_or_rejected(data, changes):
    """Guards against a traceback for a manifest with unexpected content."""
    content = yaml.safe_load(EXAMPLE_MANIFEST.read_text())
    for _ in range(changes):
        part, key = data.draw(st.sampled_from(find_items(content)))
        part[key] = data.draw(UNEXPECTED_VALUES)
    with contextlib.suppress(_errors.SettingsError):
        manifest_file.convert_manifest(content, "m.yaml")
