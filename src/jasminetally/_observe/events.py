"""Events of the structured log.

All events are in one module because docs/OPERATIONS.md lists them: a test
compares its table with the fields of each event and with the first line of its
docstring, which says when the event is written.

Durations and ages are in seconds, times of day in seconds since the Unix
epoch, and amounts in tokens. Client accounts are divided into shards. The owner
of a shard is the router that hands out the prepaid tokens of its accounts, up
to the bounds in the shard's stored record. Each takeover of a shard increases
the epoch of the record. Events and fields named ``home`` or ``home_*`` are
about the owner.
"""

from __future__ import annotations

from collections.abc import Mapping
import re
from typing import ClassVar

import msgspec


def _event_name(class_name: str) -> str:
    """Return a class name in snake case, as in ``router_started``."""
    return re.sub(r"(?<!^)(?=[A-Z])", "_", class_name).lower()


class Event(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag_field="event",
    tag=_event_name,
):
    """Base class of all events; subclasses hold the fields of the log line.

    Attributes:
        of_request: Whether callers can cause any number of these lines.
    """

    of_request: ClassVar[bool] = False


class RouterStarted(Event, frozen=True):
    """The router listens on its addresses.

    Attributes:
        incarnation: Id of this run of the router.
        callers: Address that callers connect to.
        peers: Address that other routers connect to.
    """

    incarnation: str
    callers: str
    peers: str


class RouterStopping(Event, frozen=True):
    """The router was told to stop; ``active`` requests are under way.

    Attributes:
        active: Number of requests under way.
    """

    active: int


class RouterStopped(Event, frozen=True):
    """The router exits; ``aborted`` requests got no complete answer.

    Attributes:
        aborted: Number of responses that were ended incomplete since the router
            was told to stop, and of requests that are still under way.
    """

    aborted: int


class SettingsReloaded(Event, frozen=True):
    """The router was told that its settings changed.

    Nothing else follows: addresses are bound at the start only, and the
    configuration comes from the store.
    """


class StoreReachable(Event, frozen=True):
    """The store answers calls, for the first time or after an outage."""


class StoreRestored(Event, frozen=True):
    """The store has come back from an older copy of itself.

    Attributes:
        before: Era of the store before.
        era: Era of the store now.
    """

    before: int
    era: int


class StoreLost(Event, frozen=True):
    """The store stopped answering calls.

    Written once for each outage; ``store_reachable`` ends it.

    Attributes:
        reason: Error of the call that failed.
    """

    reason: str


class StoreCallDelayed(Event, frozen=True):
    """A call to the store had to wait until a worker thread was free.

    Attributes:
        waited_s: Time that it waited.
        threads: Number of worker threads.
    """

    waited_s: float
    threads: int


class ConfigurationInForce(Event, frozen=True):
    """A newer configuration took effect, from the store or a router.

    Attributes:
        version: Version that is in force now.
        before: Version that was in force until now; 0 for none.
        source: ``store``, or the incarnation of the other router.
        routes: Number of its routes.
        accounts: Number of its client accounts.
    """

    version: int
    before: int
    source: str
    routes: int
    accounts: int


class ConfigurationRejected(Event, frozen=True):
    """A configuration could not be decoded; the previous one stays.

    Attributes:
        source: ``store``, or the incarnation of the other router.
        reason: Error of decoding it.
    """

    source: str
    reason: str


class ConfigurationNotFetched(Event, frozen=True):
    """Another router did not answer a request for its configuration."""

    reason: str


class ChangesNotFetched(Event, frozen=True):
    """A sentinel did not tell the changes of objects in the store.

    Attributes:
        objects: Start of the objects' keys.
        reason: Error of the call.
    """

    objects: str
    reason: str


class ServerCold(Event, frozen=True):
    """A backend server has just started and takes few requests.

    Attributes:
        server: Id of the server.
        cold_s: Time for which it stays cold.
        source: ``entry``, or ``own`` for a response to this router.
    """

    server: str
    cold_s: float
    source: str


class EvacuationsChanged(Event, frozen=True):
    """Other data centres than before are to get no requests.

    Attributes:
        data_centres: Those whose backend servers get none.
        version: Version of the store that shows it.
        source: ``store``, or the router that reports it.
    """

    data_centres: list[str]
    version: int
    source: str


class EvacuationUnreadable(Event, frozen=True):
    """An object that should ask for an evacuation has unreadable content.

    It has no effect.

    Attributes:
        data_centre: Name of the object.
    """

    data_centre: str


class ServersListed(Event, frozen=True):
    """The list of backend servers was read in full.

    Attributes:
        servers: Ids of all servers that this router knows now.
    """

    servers: list[str]


class ServerSeen(Event, frozen=True):
    """A backend server's entry is new or has changed.

    Attributes:
        server: Id of the server.
        service: Service that it runs.
        address: Address that it listens on.
        draining: Whether it is shutting down and takes no new requests.
        started_ms: Start of its process in Unix milliseconds; 0 if unknown.
        version: Version of its software.
    """

    server: str
    service: str
    address: str
    draining: bool
    started_ms: int
    version: str


class ServerProcessDiffers(Event, frozen=True):
    """A server's process is not the one that its entry is about.

    Attributes:
        server: Id of the server.
        started_ms: Start of its process in Unix milliseconds, as it reports.
        entry_started_ms: The same by its entry.
        entry_version: Version that the entry names.
    """

    server: str
    started_ms: int
    entry_started_ms: int
    entry_version: str


class ServerNotIdentified(Event, frozen=True):
    """A server did not report when its process has started.

    Attributes:
        server: Id of the server.
        reason: Why there is no report.
    """

    server: str
    reason: str


class ServerRemoved(Event, frozen=True):
    """A backend server's entry was deleted or became unreadable.

    Also follows ``server_entry_unreadable`` when an entry changes to one that
    can't be decoded.
    """

    server: str


class ServerExpired(Event, frozen=True):
    """A backend server's entry did not return after a store outage.

    Entries that lapse during an outage are normally written again soon after,
    so the server was kept for a grace period.
    """

    server: str


class ServerEntryUnreadable(Event, frozen=True):
    """A backend server's entry could not be decoded or used.

    The entry could not be decoded, or lacks what is needed to send requests.
    """

    server: str


class RouterSeen(Event, frozen=True):
    """Another router is new, or its readiness or shutdown state changed.

    Written for the first status of a run and when one of the fields changes.

    Attributes:
        router: Incarnation of the other router.
        ready: Whether it serves requests.
        leaving: Whether it is shutting down.
    """

    router: str
    ready: bool
    leaving: bool


class AddressesListed(Event, frozen=True):
    """A caller asked for the addresses of routers; a routine line.

    Attributes:
        addresses: Addresses in the answer; empty if the caller got none.
        known: Number of other routers that are known.
        alive: Number of those that are considered alive.
        oldest_status_s: Age of the oldest status of a router that is alive;
            None if none is.
    """

    addresses: list[str]
    known: int
    alive: int
    oldest_status_s: float | None


class RouterLost(Event, frozen=True):
    """Another router sent no status in time, or refuses connections.

    Attributes:
        router: Incarnation of the other router.
    """

    router: str


class RouterNotFound(Event, frozen=True):
    """Another router's entry could not be read from the store.

    Attributes:
        router: Name of the other router's instance.
        reason: Error of the read.
    """

    router: str
    reason: str


class RouterEntryUnreadable(Event, frozen=True):
    """Another router's entry in the store could not be decoded.

    The entry is in the store but could not be decoded.

    Attributes:
        router: Key of the entry.
        reason: Error of decoding it.
    """

    router: str
    reason: str


class HomeTaken(Event, frozen=True):
    """This router became the owner of a shard with the bounds ``accounts``.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch that begins with the takeover.
        before: Incarnation of the previous owner; empty if there was none
            or it is unknown.
        accounts: Bounds by client account, as in ``record_stored``.
    """

    shard: int
    epoch: int
    before: str
    accounts: dict[str, tuple[int, ...]]


class CeilingsSurveyed(Event, frozen=True):
    """Routers told what they hold of a shard whose record may be outdated.

    Attributes:
        shard: Number of the shard.
        conclusive: Whether enough witnesses of the last owner have answered.
        ceilings: Highest totals that it may have handed out, by client account.
    """

    shard: int
    conclusive: bool
    ceilings: Mapping[str, int]


class HomeReceived(Event, frozen=True):
    """A router that is shutting down handed a shard over to this one.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of the record that was handed over.
    """

    shard: int
    epoch: int


class HomeHandedOver(Event, frozen=True):
    """This router is shutting down and handed a shard over.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch in which this router was its owner.
        to: Incarnation of the router that is the owner now.
    """

    shard: int
    epoch: int
    to: str


class HomeSuperseded(Event, frozen=True):
    """Another router took over a shard; ``unspent`` is returned to it.

    The new owner counts all tokens up to the previous limits as spent, so this
    router stops handing out tokens and returns the rest.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch in which this router was its owner.
        unspent: Tokens to return, by client account.
    """

    shard: int
    epoch: int
    unspent: dict[str, int]


class HomeAccounted(Event, frozen=True):
    """The previous owner is replaced; its ``limit`` is corrected to ``spent``.

    A takeover counts the previous owner's whole limit as spent. The count is
    corrected to the ceilings that the owner's witnesses hold, or, once its
    instance is known to have started again, to the most that it can have handed
    out until then.

    Attributes:
        account: Client account whose count is corrected.
        before: Incarnation of the previous owner.
        epoch: Epoch of the previous owner.
        limit: Tokens that were counted as spent until now.
        spent: Tokens that are counted as spent from now on.
        ended_s: Time of day by which the previous owner had ended; None if
            its witnesses told the ceilings.
        written_s: Time of day of its last stored record; None if unknown.
    """

    account: str
    before: str
    epoch: int
    limit: int
    spent: int
    ended_s: float | None
    written_s: float | None


class HomeNotTaken(Event, frozen=True):
    """A shard could not be taken over: its record was not stored.

    Attributes:
        shard: Number of the shard.
        reason: Error of the write.
    """

    shard: int
    reason: str


class HomeLost(Event, frozen=True):
    """A shard could not be handed over; its unspent tokens count as spent.

    Also written when no router could take the shard over and its exact counts
    could not be stored either.

    Attributes:
        shard: Number of the shard.
        reason: Error of the call or of the write.
    """

    shard: int
    reason: str


class HomeUnreachable(Event, frozen=True):
    """The owner of an account did not answer in time.

    Attributes:
        account: Client account that needs tokens.
        home: Incarnation of the owner that was asked.
        reason: Error of the call.
    """

    account: str
    home: str
    reason: str


class RecordStored(Event, frozen=True):
    """New bounds were stored: granted, limit, usable, growth_rate and demand.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of the record.
        version: Version that the store gave to the record.
        accounts: Bounds by client account: tokens handed out at the write
            (granted), tokens that may be handed out in all (limit), the part of
            the limit that may be handed out at once (usable), its growth in
            tokens/s (growth_rate), and the forecast demand in tokens/s.
    """

    shard: int
    epoch: int
    version: int
    accounts: dict[str, tuple[int, ...]]


class RecordNotStored(Event, frozen=True):
    """New bounds could not be stored; the previous ones stay in force.

    Attributes:
        shard: Number of the shard.
        reason: Error of the write.
    """

    shard: int
    reason: str


class RecordNotRead(Event, frozen=True):
    """A shard's record could not be read or decoded.

    Attributes:
        shard: Number of the shard.
        reason: Error of the read or of decoding the record.
    """

    shard: int
    reason: str


class RecordLost(Event, frozen=True):
    """The store has come back with an older record; it is written again.

    Attributes:
        shard: Number of the shard.
        epoch: Epoch of this router, which owns the shard.
        version: Version of the older record; 0 if there is none.
    """

    shard: int
    epoch: int
    version: int


class ReturnLost(Event, frozen=True):
    """Returned tokens may not have reached their owner; they count as spent.

    Attributes:
        reason: Error of the call, or that the shard has no owner.
        shard: Number of the shard, if it has no owner.
        account: Client account of the tokens, if the call failed.
        tokens: Number of tokens, if the call failed.
    """

    reason: str
    shard: int | None = None
    account: str | None = None
    tokens: int | None = None


class RequestSent(Event, frozen=True):
    """A request was sent to a server; ``runners_up`` are the next best.

    Attributes:
        request: Id of the request.
        server: Id of the server.
        service: Service that the server runs.
        attempt: Number of servers that the request was sent to so far.
        config: Version of the configuration that the request was read with.
        left_s: Time left until the request's time limit.
        cost: Cost of the server, by which candidates are ranked: for model
            engines the prompt tokens to process first, for plain services the
            share of slots in use. Doubts about a server increase it.
        runners_up: Cost of the next best servers by their id.
        running: Requests under way at the server.
        waiting_tokens: Prompt tokens of those without a first event.
        pace: Smoothed latency ratio of the server, observed to expected.
        tokens: Tokens reserved for the request.
        budget: ``held`` if this router had the tokens, ``taken`` if it got
            them from the owner, ``unlimited`` if the account has no limit.
        store_age_s: Time since the store last answered; None for never.
        version: Version of the process that the connection leads to, or a
            label of the process while no entry has named its version; empty if
            the process isn't known.
        entry_version: Version that the server's entry names.
        process_started_ms: Start of that process in Unix milliseconds; 0 if
            the server doesn't state it, None if it wasn't asked or didn't
            report.
        resumes: Id of the request that brought the first event of a stream
            that goes on; None for a new one.
        after_event: Id of the event after which the stream goes on; None for
            a new one.
        origin: How the origin of a stream that is taken up was found out:
            ``own``, ``only``, ``router`` or ``record``; None for a new stream.
        kept: Whether the connection was kept from an earlier request.
        left: Why the request leaves the data centre of the router: ``only``,
            ``cache`` or ``load``; None if it stays.
    """

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
    version: str
    entry_version: str
    process_started_ms: int | None
    resumes: str | None
    after_event: int | None
    origin: str | None
    kept: bool
    left: str | None


class AttemptFailed(Event, frozen=True):
    """A server could not be reached, refused a request or failed it.

    Attributes:
        request: Id of the request.
        server: Id of the server.
        service: Service that the server runs.
        attempt: Number of servers that the request was sent to so far.
        result: ``notsent``, ``withheld``, ``refused``, ``failed``, ``broken``
            or ``outoftime``; see ``_forward.attempt_result``.
        reason: What happened, if the result has it.
        status: HTTP status of the answer, if the result has it.
        events: Events passed on to the caller so far.
        error_share: Smoothed error rate: share of requests that the server
            failed.
        left_s: Time left until the request's time limit.
        fingerprint: Hash of the request's content; equal if it is sent again
            under another id.
        parts: Ids of the parts of its prompt that other requests may share.
    """

    of_request: ClassVar[bool] = True
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
    fingerprint: str
    parts: list[str]


class ServerLeaving(Event, frozen=True):
    """A server has said in a response that it is about to end.

    Attributes:
        server: Id of the server.
        started_ms: Start of the server in Unix milliseconds, by its entry.
        source: ``own``, or the router that had the response.
    """

    server: str
    started_ms: int
    source: str


class ServerBrittle(Event, frozen=True):
    """A server says that it falls over under rejections, or no longer does.

    Attributes:
        server: Id of the server.
        max_rejections: Rejections a second that it bears; None if it is no
            longer brittle.
        value: What it has said.
    """

    server: str
    max_rejections: float | None
    value: str | None


class LenderUnreachable(Event, frozen=True):
    """A router that lends slots of brittle servers did not answer.

    Attributes:
        router: Incarnation of the router.
        reason: Why.
    """

    router: str
    reason: str


class ServiceBrittle(Event, frozen=True):
    """The servers of a service fall over under rejections, or no longer do.

    Attributes:
        service: Name of the service.
        max_rejections: Rejections a second that each of them bears; None if
            they are no longer brittle.
        source: ``own`` response of a server, or the router that reports it.
    """

    service: str
    max_rejections: float | None
    source: str


class ServerRejected(Event, frozen=True):
    """A server has turned a request away for want of room.

    Attributes:
        server: Id of the server.
        started_ms: Start of its incarnation in Unix milliseconds.
        service: Service that it runs.
        brittle: Whether the router knew before that it falls over under
            rejections.
        running: Requests of this router under way at the server, this one
            included.
        reported: Requests that other routers report to have there.
        own_slots: Slots of the server that this router has for itself; None
            if it doesn't divide them.
        slots: Requests that the server runs at the same time.
    """

    server: str
    started_ms: int
    service: str
    brittle: bool
    running: int
    reported: int
    own_slots: int | None
    slots: int


class ServerCutOff(Event, frozen=True):
    """A silent server answers no handshake; its connections are reset.

    Attributes:
        server: Id of the server.
        service: Service that it runs.
    """

    server: str
    service: str


class ServiceUnreachable(Event, frozen=True):
    """This router reaches no server of a service.

    Callers are sent to other routers, and requests are relayed to them.

    Attributes:
        service: The service.
        servers: Number of its servers that are not draining.
    """

    service: str
    servers: int


class ServiceReached(Event, frozen=True):
    """This router reaches a server of a service again, or it has none left.

    Attributes:
        service: The service.
        lost_s: Time for which no server was reached.
    """

    service: str
    lost_s: float


class RequestRelayed(Event, frozen=True):
    """A request was sent to another router, which reaches its servers.

    Attributes:
        request: Id of the request.
        router: Incarnation of the other router.
        service: Service of the request.
        left_s: Time left until the request's time limit.
    """

    request: str
    router: str
    service: str
    left_s: float


class ServerPaused(Event, frozen=True):
    """A server has asked for a pause with a 503 and Retry-After.

    Attributes:
        server: Id of the server.
        service: Service that the server runs.
        pause_s: Time for which it gets no requests from this router.
        exact: Whether the header asks for this time; otherwise its value is
            unreadable, negative or too long.
        value: Value of the header.
    """

    server: str
    service: str
    pause_s: float
    exact: bool
    value: str


class ServerLimited(Event, frozen=True):
    """A server has named, changed or withdrawn a limit on its requests.

    Attributes:
        server: Id of the server.
        limit: Requests a second that it takes from all routers; None if it
            no longer names a limit.
        source: ``own``, or the router that had the response.
    """

    server: str
    limit: float | None
    source: str


class ServerLimitUnreadable(Event, frozen=True):
    """A server has named a limit that is not a number of requests.

    Attributes:
        server: Id of the server.
        value: Value of the header.
    """

    server: str
    value: str


class WatchRestarted(Event, frozen=True):
    """A watch on the store seems to be silent, since other routers know more.

    Attributes:
        objects: Key prefix of what is watched.
    """

    objects: str


class SentinelsChanged(Event, frozen=True):
    """Other routers than before watch the store with short timeouts.

    Attributes:
        sentinels: Instances of these routers.
    """

    sentinels: list[str]


class HistoryNotStored(Event, frozen=True):
    """The origins that streams may have could not be stored or read yet.

    Attributes:
        reason: Cause.
    """

    reason: str


class HistoryUnreadable(Event, frozen=True):
    """The stored origins that streams may have could not be decoded.

    Attributes:
        object: Key of the stored object.
        reason: Cause.
    """

    object: str
    reason: str


class HistoryIncomplete(Event, frozen=True):
    """Streams from before this router's start may have unknown origins.

    They go on only if a router or a record knows them.

    Attributes:
        reason: Cause.
    """

    reason: str


class StreamsNotRecorded(Event, frozen=True):
    """The origins of streams could not be recorded in the store yet.

    Attributes:
        reason: Cause.
    """

    reason: str


class StreamRecordsNotRead(Event, frozen=True):
    """The recorded origins of streams could not be read.

    Attributes:
        reason: Cause.
    """

    reason: str


class StreamRecordUnreadable(Event, frozen=True):
    """A record of origins of streams could not be decoded.

    Attributes:
        object: Key of the stored object.
        reason: Cause.
    """

    object: str
    reason: str


class ServerCrashed(Event, frozen=True):
    """A server ended the connection of a request and refuses a new one.

    Attributes:
        server: Id of the server.
        service: Service that the server runs.
        request: Id of the request.
        suspects: Crashes in a row by what may have caused them: the request's
            fingerprint, and the parts of its prompt if no answer had begun.
    """

    of_request: ClassVar[bool] = True
    server: str
    service: str
    request: str
    suspects: dict[str, int]


class SuspectBlocked(Event, frozen=True):
    """Requests with one suspect are refused, since they crash servers.

    Attributes:
        suspect: Fingerprint of a request, or ``part-``, a hash of the model and
            the id of a part of prompts.
        crashes: Crashes in a row that they may have caused.
        blocked_s: Time for which they are refused.
        source: ``own``, the router that reported the last crash, or ``store``.
    """

    suspect: str
    crashes: int
    blocked_s: float
    source: str


class SuspectNotStored(Event, frozen=True):
    """A blocked suspect could not be stored yet; it is tried again.

    Attributes:
        suspect: The suspect.
        reason: Error of the store.
    """

    suspect: str
    reason: str


class SuspectCleared(Event, frozen=True):
    """A server answered a request with what was suspected of a crash.

    Attributes:
        request: Id of the request.
        suspect: The suspect.
    """

    of_request: ClassVar[bool] = True
    request: str
    suspect: str


class ClientsRefused(Event, frozen=True):
    """Clients were refused before a request was handled, at most once a second.

    Attributes:
        listener: Listener that they were connected to.
        reason: Code of the reason.
        count: Refused requests and closed connections since the last line.
        clients: IP addresses of the clients that were refused most often.
        largest_bytes: Most memory that one of the connections held.
        held_bytes: Memory that the connections of all clients hold.
    """

    listener: str
    reason: str
    count: int
    clients: list[str]
    largest_bytes: int
    held_bytes: int


class RequestRefused(Event, frozen=True):
    """The router answered a request with an error of its own.

    Attributes:
        request: Id that the caller gave the request; empty for none.
        status: HTTP status of the answer.
        code: Code of the error.
        reason: Message of the error.
        retry_after_s: Delay after which the caller may try again; None if
            the answer names none.
        account: Client account, if it is known.
        service: Service that the route leads to, if it is known.
        config: Version of the configuration that the request was read with,
            if it was read.
        store_age_s: Time since the store last answered; None for never.
        fingerprint: Hash of the request's content, if it was read.
    """

    of_request: ClassVar[bool] = True
    request: str
    status: int
    code: str
    reason: str
    retry_after_s: float | None
    account: str | None
    service: str | None
    config: int | None
    store_age_s: float | None
    fingerprint: str | None


class ResponseAborted(Event, frozen=True):
    """A response that had begun was ended incomplete by the router.

    Attributes:
        request: Id of the request.
        code: Code of the error that the caller would have got before.
        reason: Message of the error, which names the cause.
        stopping: Whether the router was shutting down.
        service: Service that the route leads to.
        events: Events passed on to the caller.
        left_s: Time left until the request's time limit.
    """

    of_request: ClassVar[bool] = True
    request: str
    code: str
    reason: str
    stopping: bool
    service: str
    events: int
    left_s: float


class RequestEnded(Event, frozen=True):
    """A request ended, with any outcome.

    Attributes:
        request: Id of the request.
        outcome: ``answered_`` and the HTTP status, the code of the error,
            ``internal_error`` or ``caller_left``.
        route: Name of the route.
        account: Client account; empty for none.
        attempts: Number of servers that it was sent to.
        events: Events passed on to the caller.
        tokens: Tokens that the account pays for.
        took_s: Time since the request arrived.
    """

    of_request: ClassVar[bool] = True
    request: str
    outcome: str
    route: str
    account: str
    attempts: int
    events: int
    tokens: int
    took_s: float


class InternalError(Event, frozen=True):
    """An unexpected exception occurred; report it as an issue.

    Attributes:
        where: Name of the background task, or message of the event loop.
        error: The exception, with its traceback if the event loop found it.
    """

    where: str
    error: str


class LinesLeftOut(Event, frozen=True):
    """Log lines were dropped since the last report.

    Lines are dropped when the queue of ``event_log.EventLog`` is full, at the
    rate limit of routine lines, and when a write fails.

    Attributes:
        count: Number of dropped lines.
    """

    count: int


def catalogue() -> list[type[Event]]:
    """Return all event classes in the order of their definition."""
    return Event.__subclasses__()
