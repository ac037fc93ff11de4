"""Tests of recording a manifest."""

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


class Driver:
    """Carries out the effects of one run, one at a time."""

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
        (self.next,) = self.run.start()
        self.writes = 0

    def step(self, *, lose_reply=False, fail=False):
        """Carry out one effect; return the result once there is one."""
        match self.next:
            case apply_effects.FinishRun(result):
                return result
            case apply_effects.ReadConfig(delay_s):
                self.now_s += delay_s
                event = apply_events.ConfigRead(None, 0, failed=True)
                if not fail:
                    event = self.read()
            case apply_effects.WriteConfig():
                event = self.write(self.next, lose_reply=lose_reply, fail=fail)
        (self.next,) = self.run.handle(event, self.now_s)
        return None

    def finish(self, **faults):
        """Carry out effects until the run ends."""
        for _ in range(100):
            result = self.step(**faults)
            if result is not None:
                return result
        raise AssertionError("the run does not end")

    def read(self):
        """Read the object of the platform."""
        try:
            found = self.platform.get(KEY)
        except _errors.NotFoundError:
            return apply_events.ConfigRead(None, 0)
        return apply_events.ConfigRead(found.value, found.version)

    def write(self, effect, *, lose_reply, fail):
        """Write the object, with or without a reply."""
        self.writes += 1
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
def platform(encoded):
    store = memory.MemoryPlatform()
    store.create(KEY, encoded(1))
    return store


def offer(manifest, revision, based_on, tokens=None):
    """Return a manifest, with a further top-up if tokens are given."""
    account = manifest.client_accounts["hotel-bled"]
    budget = account.budgets["general"]
    if tokens is not None:
        paid = (*budget.top_ups, top_up.TopUp("more", tokens))
        budget = budget._replace(top_ups=paid)
    account = account._replace(budgets={**account.budgets, "general": budget})
    accounts = {**manifest.client_accounts, "hotel-bled": account}
    return manifest._replace(
        revision=revision, based_on=based_on, client_accounts=accounts
    )


def recorded(platform):
    return config_codec.decode(platform.get(KEY).value)


def test_first_manifest_is_created(manifest):
    """Guards against an apply that needs an object to exist."""
    store = memory.MemoryPlatform()
    result = Driver(store, manifest, "a").finish()
    assert (result.outcome, result.revision) == (Outcome.RECORDED, 1)


def test_loser_of_a_race_is_told_who_won_and_what_differs(platform, manifest):
    """Guards against last-writer-wins between two operators."""
    first = Driver(platform, offer(manifest, 2, 1, tokens=7), "ana")
    second = Driver(platform, offer(manifest, 3, 1, tokens=9), "ben")
    first.step()
    second.step()
    assert first.finish().outcome is Outcome.RECORDED
    result = second.finish()
    assert result.outcome is Outcome.LOST_RACE
    assert "Revision 2 by ana@build was recorded" in result.lines[0]
    assert any(
        "budgets.general.top_ups.more.tokens: recorded 7, yours 9" in line
        for line in result.lines
    )
    assert recorded(platform).operation == "ana"


def test_lost_reply_is_resolved_by_the_operation(platform, manifest):
    """Guards against a winner that is told that it lost to itself."""
    run = Driver(platform, offer(manifest, 2, 1), "ana")
    assert run.finish(lose_reply=True).outcome is Outcome.RECORDED
    assert run.writes == 1


def test_lost_reply_is_resolved_after_the_next_change(platform, manifest):
    """Guards against a write that is forgotten once it is replaced."""
    run = Driver(platform, offer(manifest, 2, 1), "ana")
    run.step()
    run.step(lose_reply=True)
    assert Driver(platform, offer(manifest, 3, 2), "ben").finish()
    assert run.finish().outcome is Outcome.RECORDED
    assert recorded(platform).revision == 3


def test_lost_reply_beyond_the_remembered_writes_stays_unknown(
    platform, manifest
):
    """Guards against a lost race reported for a write that took effect."""
    run = Driver(platform, offer(manifest, 2, 1), "ana")
    run.step()
    run.step(lose_reply=True)
    for revision in range(3, 3 + apply_run.MAX_HISTORY_ENTRIES + 2):
        later = offer(manifest, revision, revision - 1)
        Driver(platform, later, f"op-{revision}").finish()
    assert len(recorded(platform).history) == apply_run.MAX_HISTORY_ENTRIES
    assert run.finish().outcome is Outcome.UNKNOWN


def test_write_that_took_no_effect_is_sent_again_under_the_same_condition(
    platform, manifest
):
    """Guards against a repeated write on top of somebody else's."""
    run = Driver(platform, offer(manifest, 2, 1), "ana")
    run.step()
    run.step(fail=True)
    run.step()
    again = run.next
    assert isinstance(again, apply_effects.WriteConfig)
    Driver(platform, offer(manifest, 3, 1), "ben").finish()
    assert run.finish().outcome is Outcome.LOST_RACE
    assert recorded(platform).operation == "ben"


@pytest.mark.parametrize(
    ("reads", "outcome"), [(0, Outcome.NOT_APPLIED), (1, Outcome.UNKNOWN)]
)
def test_outage_ends_the_run_with_what_is_known(
    platform, manifest, reads, outcome
):
    """Guards against "nothing was written" after a write without reply."""
    run = Driver(platform, offer(manifest, 2, 1), "ana")
    for _ in range(reads):
        run.step()
    assert run.finish(fail=True).outcome is outcome


def test_same_manifest_again_is_recorded(platform, manifest):
    """Guards against a pipeline retry that fails after its success."""
    wanted = offer(manifest, 2, 1)
    Driver(platform, wanted, "ana").finish()
    result = Driver(platform, wanted, "ana-again").finish()
    assert result.outcome is Outcome.RECORDED
    assert recorded(platform).operation == "ana"


def test_manifest_ahead_of_the_recorded_revision_is_rejected(
    platform, manifest
):
    """Guards against a manifest whose base was never recorded."""
    run = Driver(platform, offer(manifest, 9, 8), "ana")
    result = run.finish()
    assert result.outcome is Outcome.REJECTED
    assert "found 8; accepted: 1" in result.lines[0]


@pytest.mark.parametrize("change", ["remove", "amount", "account"])
def test_applied_top_up_may_not_be_changed(platform, manifest, change):
    """Guards against a manifest that states a sum the routers don't have."""
    offered = offer(manifest, 2, 1)
    accounts = dict(offered.client_accounts)
    account = accounts["hotel-bled"]
    paid = {
        "remove": (),
        "amount": (top_up.TopUp("2027-04", 999_999),),
        "account": account.budgets["general"].top_ups,
    }[change]
    budgets = dict(account.budgets)
    budgets["general"] = budgets["general"]._replace(top_ups=paid)
    accounts["hotel-bled"] = account._replace(budgets=budgets)
    if change == "account":
        del accounts["hotel-bled"]
    offered = offered._replace(client_accounts=accounts)
    result = Driver(platform, offered, "ana").finish()
    assert result.outcome is Outcome.REJECTED
    assert "hotel-bled.budgets.general.top_ups.2027-04" in result.lines[0]
    assert recorded(platform).revision == 1


def test_manifest_above_the_value_limit_is_rejected(platform, manifest):
    """Guards against a write that the platform can't store."""
    paid = tuple(top_up.TopUp(f"top-up-{n}", 1) for n in range(60_000))
    offered = offer(manifest, 2, 1)
    account = offered.client_accounts["hotel-bled"]
    budget = account.budgets["general"]
    budget = budget._replace(top_ups=(*budget.top_ups, *paid))
    account = account._replace(budgets={**account.budgets, "general": budget})
    accounts = {**offered.client_accounts, "hotel-bled": account}
    offered = offered._replace(client_accounts=accounts)
    result = Driver(platform, offered, "ana").finish()
    assert result.outcome is Outcome.REJECTED
    assert "the platform accepts 1000000" in result.lines[0]


def test_naive_apply_is_caught_by_the_race(platform, manifest, monkeypatch):
    """Shows that the race test fails against last-writer-wins."""

    def overwrite(key, value, *, expected_version):
        return original(key, value, expected_version=platform.get(key).version)

    original = platform.update
    monkeypatch.setattr(platform, "update", overwrite)
    with pytest.raises(AssertionError):
        test_loser_of_a_race_is_told_who_won_and_what_differs(
            platform, manifest
        )
