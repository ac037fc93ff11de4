"""List of defects that are put into routers to test the soak.

``python -m testing.soak.defects --seeds 1-3 --jobs 3`` in the repository's root
runs the soak with each of them and prints which were caught.
"""

from __future__ import annotations

import argparse
from concurrent import futures
import random
import re
import sys

from jasminetally import _errors
from jasminetally._deployment import deployment_index
from jasminetally._deployment import deployment_tracker
from jasminetally._deployment import route
from jasminetally._forward import caller_connection
from jasminetally._forward import caller_errors
from jasminetally._forward import node
from jasminetally._forward import node_watches
from jasminetally._forward import notice_reader
from jasminetally._forward import request_job
from jasminetally._forward import request_reader
from jasminetally._forward import response_part
from jasminetally._forward import router_relay
from jasminetally._forward import server_connection
from jasminetally._forward import server_request
from jasminetally._placing import cold_start
from jasminetally._placing import crash_history
from jasminetally._placing import notice_book
from jasminetally._placing import server_record
from jasminetally._placing import server_registry
from jasminetally._platform import watch_loop
from jasminetally._prepaid import local_balance
from jasminetally._shared import retry_budget
from testing.soak import defect as defect_lib
from testing.soak import rule as rule_lib

DENIED_SHARE = 0.05
FIRST_VERSION = "3"


def _serve_no_added_route() -> None:
    find_route = deployment_index.DeploymentIndex.find_route

    def find_first_route(self, host, path):
        version = re.match(r"/v(\d+)/", path)
        if version is not None and version[1] != FIRST_VERSION:
            return None
        return find_route(self, host, path)

    deployment_index.DeploymentIndex.find_route = find_first_route


def _deny_some_known_keys() -> None:
    authenticate = request_reader._authenticate

    def authenticate_most(*args):
        if random.random() < DENIED_SHARE:
            raise _errors.CallerError("unknown", status=401, code="unknown_key")
        return authenticate(*args)

    request_reader._authenticate = authenticate_most


def _use_draining_servers() -> None:
    server_record.ServerRecord.leaving = property(
        lambda self: self.removed or self.notices.leaving
    )


def _ignore_announced_leaving() -> None:
    notice_reader.NoticeReader.on_leaving = lambda *args: None


def _ignore_pauses() -> None:
    notice_book.NoticeBook.on_pause_requested = lambda *args: None


def _retry_without_limit() -> None:
    retry_budget.RetryBudget.try_retry = lambda self, now_s: True


def _block_nothing() -> None:
    crash_history.CrashHistory.blocked_for_s = lambda *args: 0.0


def _repeat_everything() -> None:
    route.Route.repeatable = property(lambda self: True)


def _reserve_without_tokens() -> None:
    local_balance.LocalBalance.reserve = lambda self, needed: True


def _go_on_for_callers_that_left() -> None:
    def forget(self, exc):
        self._open_connections.discard(self)
        self._transport = None

    caller_connection.CallerConnection.connection_lost = forget


def _call_unknown_outcomes_not_run() -> None:
    caller_errors.outcome_unknown_error = lambda reason: (
        caller_errors.not_run_error("wrong", 0.1)
    )


def _apply_any_configuration() -> None:
    deployment_tracker.DeploymentTracker.version = property(lambda self: 0)


def _stop_at_once() -> None:
    node.ACCEPT_AFTER_STOP_S = 0.0
    node.STOP_MARGIN_S = 10.0


def _take_broken_answers_for_whole() -> None:
    def end(self, part):
        del part
        self._queue_part(response_part.ResponseEnd())
        self.close()

    server_connection.ServerConnection._fail = end


def _never_relay() -> None:
    router_relay.RouterRelay.can_relay = lambda self, job: False


def _miss_silent_watches() -> None:
    node_watches.SENTINEL_WATCH_TIMEOUT_S = 25.0
    watch_loop.WATCH_TIMEOUT_S = 25.0


def _charge_another_account() -> None:
    authenticate = request_reader._authenticate

    def authenticate_as_first(request, index, route):
        found = authenticate(request, index, route)
        return found and next(iter(index.deployment.accounts.values()))

    request_reader._authenticate = authenticate_as_first


def _change_requests(change) -> None:
    encode_request = server_request.encode_request
    server_request.encode_request = lambda *args, **options: change(
        encode_request(*args, **options)
    )


def _pass_keys_on() -> None:
    _change_requests(
        lambda data: data.replace(b"\r\n", b"\r\nAuthorization: x\r\n", 1)
    )


def _change_bodies() -> None:
    _change_requests(lambda data: data[:-1] + b"x")


def _ignore_evacuations() -> None:
    server_registry.ServerRegistry.set_evacuated = lambda *args: None


def _send_cold_servers_everything() -> None:
    cold_start.ColdStart.wait_s = lambda self, now_s: 0.0


def _settle_nothing() -> None:
    request_job.RequestJob.used_tokens = property(lambda self: 0)


DEFECTS = [
    defect_lib.Defect(*found)
    for found in (
        ("added-routes", rule_lib.Rule.CONFIGURATION, _serve_no_added_route),
        ("denied-keys", "a known key is accepted", _deny_some_known_keys),
        ("draining", rule_lib.Rule.DRAINING, _use_draining_servers),
        ("leaving", rule_lib.Rule.LEAVING, _ignore_announced_leaving),
        ("pauses", rule_lib.Rule.PAUSE, _ignore_pauses),
        ("retries", "repeats are limited", _retry_without_limit),
        ("crashes", rule_lib.Rule.CRASHES, _block_nothing),
        ("repeats", "runs at most once", _repeat_everything),
        ("budget", "no account overspends", _reserve_without_tokens),
        ("callers-left", rule_lib.Rule.ABANDONED, _go_on_for_callers_that_left),
        ("not-run", "not run is true", _call_unknown_outcomes_not_run),
        ("reverts", "never reverts", _apply_any_configuration),
        ("stops", rule_lib.Rule.CUT_OFF, _stop_at_once),
        ("watches", rule_lib.Rule.CONFIGURATION, _miss_silent_watches),
        ("accounts", "runs for the key's account", _charge_another_account),
        ("keys", "servers don't get keys", _pass_keys_on),
        ("bodies", "requests arrive unchanged", _change_bodies),
        ("settlements", "no account overspends", _settle_nothing),
        ("cut-off", rule_lib.Rule.SERVED, _never_relay),
        ("evacuated", rule_lib.Rule.EVACUATED, _ignore_evacuations),
        ("cold", rule_lib.Rule.COLD, _send_cold_servers_everything),
        ("whole", "answers are whole", _take_broken_answers_for_whole),
    )
]


def find_defect(name: str) -> defect_lib.Defect:
    """Return the defect of a name.

    Raises:
        ValueError: There is none.
    """
    for found in DEFECTS:
        if found.name == name:
            return found
    raise ValueError(
        f"no defect {name!r}; there are "
        + ", ".join(found.name for found in DEFECTS)
    )


def main() -> int:
    """Run the soak with each defect; return 1 if one is missed, else 0."""
    # The soak starts routers that import this module.
    from testing.soak import soak

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=soak.parse_seeds, default=range(1, 4))
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--only", nargs="+", help="names of defects")
    options = parser.parse_args()
    chosen = [find_defect(name) for name in options.only or ()] or DEFECTS
    missed = 0
    with futures.ProcessPoolExecutor(options.jobs) as pool:
        runs = {
            defect.name: [
                pool.submit(soak.run_seed_in_worker, seed, 4, defect.name)
                for seed in options.seeds
            ]
            for defect in chosen
        }
        for name, futs in runs.items():
            results = [fut.result() for fut in futs]
            found = [result.violations for result in results]
            caught = [violations[0] for violations in found if violations]
            missed += not caught
            print(
                f"{name}: caught by {len(caught)} of {len(found)} seeds; "
                + (caught[0] if caught else "MISSED"),
                flush=True,
            )
    print(f"{len(chosen)} defects, {missed} missed")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
