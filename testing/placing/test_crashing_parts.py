"""Tests of the search for a part of prompts that crashes servers."""

from __future__ import annotations

import random
from typing import NamedTuple

import pytest

from jasminetally._placing import crash_history
from jasminetally._placing import crash_record
from jasminetally._placing import crash_suspect
from jasminetally._placing import prompt_part

CrashRecord = crash_record.CrashRecord

# Bounds of the users' platform.
CRASHES_BEFORE_LIMIT = 5
MAX_LATE_ARRIVALS = 3
CONTACT_S = 3.0
# Load of the incident: requests a second, and the time to the first event.
FATAL_RATE = 1.0
HARMLESS_RATE = 30.0
FIRST_EVENT_S = 0.3
PROOF_S = 0.25
STEP_S = 0.05
STATUS_STEPS = 5
DAY_S = 40.0
SERVERS = 9


def make_suspect(part_id: str) -> str:
    return crash_suspect.name_part(b"m", prompt_part.PromptPart(part_id, 10))


FATAL = make_suspect("dead")


class Run(NamedTuple):
    """A request that runs at a server.

    Attributes:
        router: History of the router that has sent it.
        server: Number of the server.
        known: Records of its parts when it was sent.
        sent_s: Time at which it was sent.
    """

    router: crash_history.CrashHistory
    server: int
    known: list[CrashRecord]
    sent_s: float

    @property
    def fatal(self) -> bool:
        """Whether it crashes its server when its answer begins."""
        return any(record.suspect == FATAL for record in self.known)


def count_in_a_row(history, suspect, times_s) -> int:
    """Record crashes of requests sent just before; return the count."""
    for now_s in times_s:
        history.on_crash(history.get(suspect, now_s), now_s)
    return history.get(suspect, times_s[-1]).crashes


def test_part_is_blocked_after_one_crash_more_than_a_content():
    """Guards against refusals of all requests with a part for two crashes."""
    history = crash_history.CrashHistory()
    assert count_in_a_row(history, FATAL, [0.0, 1.0]) == 2
    assert history.blocked_for_s(FATAL, 1.0) == 0
    assert count_in_a_row(history, FATAL, [2.0]) == 3
    assert history.blocked_for_s(FATAL, 2.0) > 0


def test_crashes_right_after_another_do_not_count_for_a_part():
    """Guards against harmless parts blocked before any answer can arrive."""
    history = crash_history.CrashHistory()
    assert count_in_a_row(history, FATAL, [0.0, 0.1, 0.2, 0.3, 0.4]) == 1
    assert count_in_a_row(history, FATAL, [0.6]) == 2


def test_crash_that_is_not_counted_does_not_delay_the_next_count():
    """Guards against a part that is never blocked if crashes come fast."""
    history = crash_history.CrashHistory()
    crashes_s = [number * 0.1 for number in range(12)]
    assert count_in_a_row(history, FATAL, crashes_s) == 3


def test_parts_of_different_models_are_different_suspects():
    """Guards against refusals at servers that the part does not crash."""
    part = prompt_part.PromptPart("dead", 10)
    assert crash_suspect.name_part(b"m", part) != crash_suspect.name_part(
        b"n", part
    )


@pytest.mark.parametrize("fatal_rate", [FATAL_RATE, 5 * FATAL_RATE])
@pytest.mark.parametrize("routers", [1, 6, 60])
def test_only_the_fatal_part_is_blocked_in_a_fleet(routers, fatal_rate):
    """Guards against late arrivals, and against refusals of harmless requests.

    Requests with the fatal part have their other parts in common with harmless
    ones. A server that crashes breaks all requests that it runs, and is back
    two seconds later. Routers exchange statuses with three others each 0.25 s.
    """
    rng = random.Random(routers)
    fleet = [crash_history.CrashHistory() for _ in range(routers)]
    running: list[Run] = []
    crashes_s: list[float] = []
    fatal_sent_s: list[float] = []
    back_s = dict.fromkeys(range(SERVERS), 0.0)
    for step in range(int(DAY_S / STEP_S)):
        now_s = step * STEP_S
        for run in [run for run in running if run.fatal]:
            if run not in running or now_s < run.sent_s + FIRST_EVENT_S:
                continue
            crashes_s.append(now_s)
            back_s[run.server] = now_s + 2.0
            for broken in [
                found for found in running if found.server == run.server
            ]:
                running.remove(broken)
                for record in broken.known:
                    broken.router.on_crash(record, now_s)
        for run in running.copy():
            if now_s >= run.sent_s + FIRST_EVENT_S + PROOF_S:
                running.remove(run)
                for record in run.known:
                    run.router.on_answered(record.suspect, now_s)
        if step % STATUS_STEPS == 0:
            exchange_statuses(fleet, rng, now_s)
        for fatal, rate in ((True, fatal_rate), (False, HARMLESS_RATE)):
            for _ in range(round(rate * STEP_S + rng.uniform(-0.5, 0.5))):
                router = rng.choice(fleet)
                suspects = draw_suspects(rng, fatal=fatal)
                if any(router.blocked_for_s(name, now_s) for name in suspects):
                    assert fatal
                    continue
                up = [server for server in back_s if back_s[server] <= now_s]
                if not up:
                    continue
                known = [router.get(name, now_s) for name in suspects]
                running.append(Run(router, rng.choice(up), known, now_s))
                if fatal:
                    fatal_sent_s.append(now_s)
    counted_from_s = crashes_s[:CRASHES_BEFORE_LIMIT][-1] + CONTACT_S
    late = [at_s for at_s in fatal_sent_s if at_s > counted_from_s]
    assert len(late) <= MAX_LATE_ARRIVALS
    assert any(router.blocked_for_s(FATAL, DAY_S) for router in fleet)


def draw_suspects(rng, *, fatal: bool) -> list[str]:
    """Return the parts of a prompt that other requests may share."""
    parts = [
        make_suspect(rng.choice(["5c1e", "77aa"])),
        make_suspect(f"document {rng.randrange(8)}"),
    ]
    if fatal:
        parts.insert(rng.randrange(3), FATAL)
    return parts


def exchange_statuses(fleet, rng, now_s: float) -> None:
    for router in fleet:
        for other in rng.sample(fleet, min(3, len(fleet))):
            records = router.export(now_s)
            router.merge(other.export(now_s), now_s)
            other.merge(records, now_s)
