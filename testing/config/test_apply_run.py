"""Tests of a run of ``apply`` that records a manifest."""

from __future__ import annotations

import pytest

from jasminetally import _errors
from jasminetally._config import apply_effects
from jasminetally._config import apply_events
from jasminetally._config import apply_result
from jasminetally._config import apply_run
from jasminetally._config import config_codec
from jasminetally._config import top_up
from jasminetally._platform import memory

Outcome = apply_result.ApplyOutcome
KEY = config_codec.CONFIG_KEY


class ApplyDriver:
    """Carries out the effects of one run on a platform, one at a time."""

    def __init__(self, platform, manifest, operation):
        self.platform = platform
        self.run = apply_run.ApplyRun(
            manifest=manifest,
            operation=operation,
            applied_by=f"{operation}@build",
            applied_at_s=0.0,
            deadline_s=5.0,
        )
        self.now_s = 0.0
        (self.next_effect,) = self.run.start()
        self.write_count = 0

    def execute_next(self, *, lose_reply=False, fail=False):
        """Carry out one effect; return the result once the run has ended.

        Args:
            lose_reply: Whether a write takes effect but gets no reply.
            fail: Whether the platform is unreachable.
        """
        match self.next_effect:
            case apply_effects.FinishRun(result):
                return result
            case apply_effects.ReadConfig(delay_s):
                self.now_s += delay_s
                event = apply_events.ConfigRead(None, 0, failed=True)
                if not fail:
                    event = self.read_object()
            case apply_effects.WriteConfig():
                event = self.write_object(
                    self.next_effect, lose_reply=lose_reply, fail=fail
                )
        (self.next_effect,) = self.run.handle(event, self.now_s)
        return None

    def run_to_end(self, **faults):
        """Carry out effects until the run ends; return its result."""
        for _ in range(100):
            result = self.execute_next(**faults)
            if result is not None:
                return result
        raise AssertionError("the run has not ended after 100 effects")

    def read_object(self):
        """Read ``config/current`` from the platform."""
        try:
            found = self.platform.get(KEY)
        except _errors.NotFoundError:
            return apply_events.ConfigRead(None, 0)
        return apply_events.ConfigRead(found.value, found.version)

    def write_object(self, effect, *, lose_reply, fail):
        """Write ``config/current`` to the platform."""
        self.write_count += 1
        failure = apply_events.WriteFailure
        if fail:
            return apply_events.WriteCompleted(failure.UNKNOWN)
        try:
            if effect.expected_version:
                self.platform.update(
                    KEY,
                    effect.value,
                    expected_version=effect.expected_version,
                )
            else:
                self.platform.create(KEY, effect.value)
        except _errors.VersionConflictError:
            return apply_events.WriteCompleted(failure.CONFLICT)
        return apply_events.WriteCompleted(
            failure.UNKNOWN if lose_reply else None
        )


@pytest.fixture
def platform(encode_revision):
    store = memory.MemoryPlatform()
    store.create(KEY, encode_revision(1))
    return store


def make_manifest(manifest, revision, based_on, tokens=None):
    """Return the manifest as a revision, with a new top-up of some tokens."""
    account = manifest.client_accounts["hotel-bled"]
    budget = account.budgets["general"]
    if tokens is not None:
        top_ups = (*budget.top_ups, top_up.TopUp("more", tokens))
        budget = budget._replace(top_ups=top_ups)
    account = account._replace(budgets={**account.budgets, "general": budget})
    accounts = {**manifest.client_accounts, "hotel-bled": account}
    return manifest._replace(
        revision=revision, based_on=based_on, client_accounts=accounts
    )


def read_config(platform):
    return config_codec.decode(platform.get(KEY).value)


def test_first_manifest_is_created(manifest):
    """Guards against an ``apply`` that fails if no object exists yet."""
    store = memory.MemoryPlatform()
    result = ApplyDriver(store, manifest, "a").run_to_end()
    assert (result.outcome, result.revision) == (Outcome.RECORDED, 1)


def test_lost_race_names_the_winner_and_the_differences(platform, manifest):
    """Guards against one operator overwriting the manifest of another."""
    first = ApplyDriver(
        platform, make_manifest(manifest, 2, 1, tokens=7), "ana"
    )
    second = ApplyDriver(
        platform, make_manifest(manifest, 3, 1, tokens=9), "ben"
    )
    first.execute_next()
    second.execute_next()
    assert first.run_to_end().outcome is Outcome.RECORDED
    result = second.run_to_end()
    assert result.outcome is Outcome.LOST_RACE
    assert "Revision 2 by ana@build was recorded" in result.lines[0]
    assert any(
        "budgets.general.top_ups.more.tokens: recorded 7, yours 9" in line
        for line in result.lines
    )
    assert read_config(platform).operation == "ana"


def test_lost_reply_is_resolved_by_the_operation_identifier(platform, manifest):
    """Guards against "lost race" for a run whose own write was recorded."""
    run = ApplyDriver(platform, make_manifest(manifest, 2, 1), "ana")
    assert run.run_to_end(lose_reply=True).outcome is Outcome.RECORDED
    assert run.write_count == 1


def test_lost_reply_is_resolved_after_a_later_write(platform, manifest):
    """Guards against a run that can't find its write once it is replaced."""
    run = ApplyDriver(platform, make_manifest(manifest, 2, 1), "ana")
    run.execute_next()
    run.execute_next(lose_reply=True)
    assert ApplyDriver(
        platform, make_manifest(manifest, 3, 2), "ben"
    ).run_to_end()
    assert run.run_to_end().outcome is Outcome.RECORDED
    assert read_config(platform).revision == 3


def test_lost_reply_is_unknown_if_the_history_is_too_short(platform, manifest):
    """Guards against "lost race" for a write that may have taken effect."""
    run = ApplyDriver(platform, make_manifest(manifest, 2, 1), "ana")
    run.execute_next()
    run.execute_next(lose_reply=True)
    for revision in range(3, 3 + apply_run.MAX_HISTORY_ENTRIES + 2):
        later = make_manifest(manifest, revision, revision - 1)
        ApplyDriver(platform, later, f"op-{revision}").run_to_end()
    assert len(read_config(platform).history) == apply_run.MAX_HISTORY_ENTRIES
    assert run.run_to_end().outcome is Outcome.UNKNOWN


def test_write_without_effect_is_repeated_with_the_same_condition(
    platform, manifest
):
    """Guards against a repeated write that replaces another run's write."""
    run = ApplyDriver(platform, make_manifest(manifest, 2, 1), "ana")
    run.execute_next()
    run.execute_next(fail=True)
    run.execute_next()
    again = run.next_effect
    assert isinstance(again, apply_effects.WriteConfig)
    ApplyDriver(platform, make_manifest(manifest, 3, 1), "ben").run_to_end()
    assert run.run_to_end().outcome is Outcome.LOST_RACE
    assert read_config(platform).operation == "ben"


@pytest.mark.parametrize(
    ("reads", "outcome"), [(0, Outcome.NOT_APPLIED), (1, Outcome.UNKNOWN)]
)
def test_outage_result_depends_on_whether_a_write_was_sent(
    platform, manifest, reads, outcome
):
    """Guards against "nothing was written" after a write without a reply."""
    run = ApplyDriver(platform, make_manifest(manifest, 2, 1), "ana")
    for _ in range(reads):
        run.execute_next()
    assert run.run_to_end(fail=True).outcome is outcome


def test_applying_the_same_manifest_again_succeeds(platform, manifest):
    """Guards against a failing retry of a pipeline that has succeeded."""
    wanted = make_manifest(manifest, 2, 1)
    ApplyDriver(platform, wanted, "ana").run_to_end()
    result = ApplyDriver(platform, wanted, "ana-again").run_to_end()
    assert result.outcome is Outcome.RECORDED
    assert read_config(platform).operation == "ana"


def test_manifest_ahead_of_the_recorded_revision_is_rejected(
    platform, manifest
):
    """Guards against a manifest based on a revision never recorded."""
    run = ApplyDriver(platform, make_manifest(manifest, 9, 8), "ana")
    result = run.run_to_end()
    assert result.outcome is Outcome.REJECTED
    assert "found 8; accepted: 1" in result.lines[0]


@pytest.mark.parametrize("change", ["remove", "amount", "account"])
def test_applied_top_up_may_not_be_changed(platform, manifest, change):
    """Guards against a manifest whose top-ups differ from those credited."""
    offered = make_manifest(manifest, 2, 1)
    accounts = dict(offered.client_accounts)
    account = accounts["hotel-bled"]
    top_ups = {
        "remove": (),
        "amount": (top_up.TopUp("2027-04", 999_999),),
        "account": account.budgets["general"].top_ups,
    }[change]
    budgets = dict(account.budgets)
    budgets["general"] = budgets["general"]._replace(top_ups=top_ups)
    accounts["hotel-bled"] = account._replace(budgets=budgets)
    if change == "account":
        del accounts["hotel-bled"]
    offered = offered._replace(client_accounts=accounts)
    result = ApplyDriver(platform, offered, "ana").run_to_end()
    assert result.outcome is Outcome.REJECTED
    assert "hotel-bled.budgets.general.top_ups.2027-04" in result.lines[0]
    assert read_config(platform).revision == 1


def test_manifest_above_the_value_limit_is_rejected(platform, manifest):
    """Guards against a write that is too large for the platform."""
    top_ups = tuple(top_up.TopUp(f"top-up-{n}", 1) for n in range(60_000))
    offered = make_manifest(manifest, 2, 1)
    account = offered.client_accounts["hotel-bled"]
    budget = account.budgets["general"]
    budget = budget._replace(top_ups=(*budget.top_ups, *top_ups))
    account = account._replace(budgets={**account.budgets, "general": budget})
    accounts = {**offered.client_accounts, "hotel-bled": account}
    offered = offered._replace(client_accounts=accounts)
    result = ApplyDriver(platform, offered, "ana").run_to_end()
    assert result.outcome is Outcome.REJECTED
    assert "the platform accepts 1000000" in result.lines[0]


def test_race_test_fails_for_an_unconditional_write(
    platform, manifest, monkeypatch
):
    """Shows that the race test detects a write that ignores the version."""

    def overwrite(key, value, *, expected_version):
        return original(key, value, expected_version=platform.get(key).version)

    original = platform.update
    monkeypatch.setattr(platform, "update", overwrite)
    with pytest.raises(AssertionError):
        test_lost_race_names_the_winner_and_the_differences(platform, manifest)
