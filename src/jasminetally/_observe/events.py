"""Events of the structured log.

One file, since together they are the catalogue that docs/OPERATIONS.md lists;
the first line of each docstring says there when the event is written. Ages and
times are in seconds, amounts in tokens.
"""

from __future__ import annotations

import re

import msgspec


def _name(class_name: str) -> str:
    return re.sub(r"(?<!^)(?=[A-Z])", "_", class_name).lower()


class Event(
    msgspec.Struct, frozen=True, kw_only=True, tag_field="event", tag=_name
):
    """Base of all events; subclasses name what decided and the outcome."""


class RouterStarted(Event, frozen=True):
    """A process listens on its addresses."""

    incarnation: str
    callers: str
    peers: str


class RouterStopping(Event, frozen=True):
    """A process was told to stop; ``active`` requests are under way."""

    active: int


class RouterStopped(Event, frozen=True):
    """A process ends; ``aborted`` requests had no answer."""

    aborted: int


class SettingsReloaded(Event, frozen=True):
    """A process was told that its settings changed."""


class StoreReachable(Event, frozen=True):
    """The store answers, for the first time or again."""


class StoreLost(Event, frozen=True):
    """A call to the store had no answer."""

    reason: str


class ConfigurationInForce(Event, frozen=True):
    """A version was taken, from the store or another router."""

    version: int
    before: int
    source: str
    routes: int
    accounts: int


class ConfigurationRejected(Event, frozen=True):
    """A version can't be read; the last good one stays in force."""

    source: str
    reason: str


class ConfigurationNotFetched(Event, frozen=True):
    """Another router did not hand over its version."""

    reason: str


class ServersListed(Event, frozen=True):
    """The list of servers was read in full."""

    servers: list[str]


class ServerSeen(Event, frozen=True):
    """A server's entry is new or changed."""

    server: str
    service: str
    address: str
    draining: bool
    started_ms: int


class ServerRemoved(Event, frozen=True):
    """A server's entry is gone."""

    server: str


class ServerExpired(Event, frozen=True):
    """A server's entry did not come back after an outage of the store."""

    server: str


class ServerEntryUnreadable(Event, frozen=True):
    """An entry names no server that could be used."""

    server: str


class RouterSeen(Event, frozen=True):
    """Another router said something new of itself."""

    router: str
    ready: bool
    leaving: bool


class RouterLost(Event, frozen=True):
    """Another router was silent too long, or refuses connections."""

    router: str


class RouterNotFound(Event, frozen=True):
    """Another router's entry could not be read from the store."""

    router: str
    reason: str


class RouterEntryUnreadable(Event, frozen=True):
    """Another router's entry can't be read."""

    router: str
    reason: str


class HomeTaken(Event, frozen=True):
    """This router took over a shard; ``accounts`` are the stored bounds."""

    shard: int
    epoch: int
    before: str
    accounts: dict[str, tuple[int, ...]]


class HomeReceived(Event, frozen=True):
    """A router that stops has handed a shard to this one."""

    shard: int
    epoch: int


class HomeHandedOver(Event, frozen=True):
    """This router stops and has handed a shard over."""

    shard: int
    epoch: int
    to: str


class HomeSuperseded(Event, frozen=True):
    """Another router took a shard over; ``unspent`` goes back to it."""

    shard: int
    epoch: int
    unspent: dict[str, int]


class HomeAccounted(Event, frozen=True):
    """The end of the home before is known, so ``limit`` was ``spent``."""

    account: str
    before: str
    epoch: int
    limit: int
    spent: int
    ended_s: float
    written_s: float | None


class HomeNotTaken(Event, frozen=True):
    """The record of a takeover could not be stored."""

    shard: int
    reason: str


class HomeLost(Event, frozen=True):
    """A handover had no answer; what was left counts as spent."""

    shard: int
    reason: str


class HomeUnreachable(Event, frozen=True):
    """The home of an account did not answer in time."""

    account: str
    home: str
    reason: str


class RecordStored(Event, frozen=True):
    """New bounds are stored: base, limit, usable, rate, demand."""

    shard: int
    epoch: int
    version: int
    accounts: dict[str, tuple[int, ...]]


class RecordNotStored(Event, frozen=True):
    """New bounds could not be stored; the old ones hold."""

    shard: int
    reason: str


class RecordNotRead(Event, frozen=True):
    """A shard's record could not be read."""

    shard: int
    reason: str


class ReturnLost(Event, frozen=True):
    """Unused tokens may not have reached their home and count as spent."""

    reason: str
    shard: int | None = None
    account: str | None = None
    tokens: int | None = None


class RequestSent(Event, frozen=True):
    """A server was chosen; ``runners_up`` would have cost this much."""

    request: str
    server: str
    service: str
    attempt: int
    config: int
    left_s: float
    cost: float
    runners_up: dict[str, float]
    running: int
    waiting_tokens: int
    pace: float
    tokens: int
    budget: str
    store_age_s: float | None


class AttemptFailed(Event, frozen=True):
    """A server refused, failed or broke off."""

    request: str
    server: str
    service: str
    attempt: int
    result: str
    reason: str | None
    status: int | None
    events: int
    error_share: float
    left_s: float


class RequestRefused(Event, frozen=True):
    """The router gave an error answer of its own."""

    request: str
    status: int
    code: str
    reason: str
    retry_after_s: float | None
    account: str | None
    service: str | None
    config: int | None
    store_age_s: float | None


class RequestEnded(Event, frozen=True):
    """A request ended, however it did."""

    request: str
    outcome: str
    route: str
    account: str
    attempts: int
    events: int
    tokens: int
    took_s: float


class InternalError(Event, frozen=True):
    """The program has a fault; file an issue."""

    where: str
    error: str


class LinesLeftOut(Event, frozen=True):
    """Lines did not fit since the line before this one."""

    count: int


def catalogue() -> list[type[Event]]:
    """Return all kinds of events, in the order of this file."""
    return Event.__subclasses__()
