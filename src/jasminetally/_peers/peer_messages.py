"""Messages between routers.

They share a file because the codec decodes the union of all of them. Fields are
encoded under their names. In encoded names and tags, the owner of a shard is
called its home: the router that hands out the prepaid tokens of the shard's
client accounts.
"""

from __future__ import annotations

import msgspec

from jasminetally._peers import node_identity
from jasminetally._placing import brittleness_notice
from jasminetally._placing import crash_record
from jasminetally._placing import evacuations as evacuations_lib
from jasminetally._placing import limit_notice
from jasminetally._prepaid import pool_record
from jasminetally._streams import announced_stream


class Status(msgspec.Struct, tag="status", frozen=True):
    """State of a router; answered by the status of the receiver.

    Attributes:
        sender: Identity of the router.
        deployment_version: Version of the configuration that it applies; 0
            for none.
        ready: Whether it takes requests.
        leaving: Whether it is shutting down.
        store_reachable: Whether it reaches the platform's store.
        loads: Its running requests and their waiting prompt tokens, by backend
            server.
        homes: Epochs of the shards that it owns, by shard.
        scarce: Client accounts of these shards whose tokens are nearly used
            up.
        time_of_day_s: Time of day by its own clock in seconds.
        started_s: Time of day of its start in seconds, by the routers' agreed
            clock; None if not known.
        crashes: What it knows about requests that crash backend servers.
        leaving_servers: Id and start in Unix milliseconds of backend servers
            that have said that they leave, while their entries do not.
        server_limits: Limits on requests that backend servers name.
        servers_digest: Hash of the entries of backend servers that it knows; 0
            if it doesn't tell.
        unreachable_services: Services of which it reaches no server.
        evacuations: Data centres whose backend servers get no requests; None
            if it does not know them.
        servers_version: Version of the store at which it last heard of changes
            of backend servers; 0 if it can't tell others what has changed.
        store_era: Era of the store that it knows.
        brittle_services: Services whose servers fall over if they reject too
            much.
        spare_slots: Slots of brittle backend servers that it may lend, by
            service.
    """

    sender: node_identity.NodeIdentity
    deployment_version: int
    ready: bool
    leaving: bool
    store_reachable: bool
    loads: dict[str, tuple[int, int]]
    homes: dict[int, int]
    scarce: list[str]
    time_of_day_s: float
    started_s: float | None
    crashes: list[crash_record.CrashRecord] = []
    leaving_servers: list[tuple[str, int]] = []
    server_limits: list[limit_notice.LimitNotice] = []
    servers_digest: int = 0
    unreachable_services: list[str] = []
    evacuations: evacuations_lib.Evacuations | None = None
    servers_version: int = 0
    store_era: int = 0
    brittle_services: list[brittleness_notice.BrittlenessNotice] = []
    spare_slots: dict[str, int] = {}


class DeploymentQuery(msgspec.Struct, tag="fetch", frozen=True):
    """Requests the configuration in force."""


class DeploymentReply(msgspec.Struct, tag="fetched", frozen=True):
    """Answers ``DeploymentQuery``.

    Attributes:
        packed: Configuration in force as stored, compressed; empty for none.
        routers: The sender and the other routers that it considers alive.
    """

    packed: bytes
    routers: list[node_identity.NodeIdentity]


class TakeTokens(msgspec.Struct, tag="take", frozen=True):
    """Requests prepaid tokens from the owner of an account's shard.

    Attributes:
        account: Client account.
        needed: Tokens without which a request can't run.
        wished: Tokens that the sender would like to get; at least those needed.
        rank: Rank of the request's route; 0 is the most urgent.
    """

    account: str
    needed: int
    wished: int
    rank: int = 0


class TakeTokensReply(msgspec.Struct, tag="taken", frozen=True):
    """Answers ``TakeTokens``.

    Attributes:
        tokens: Granted tokens; 0 if fewer than needed are available.
        remaining: Remaining tokens of the account, without the part of the
            reserve that is still closed.
        exhausted: Whether fewer tokens than needed remain, so that a higher
            bound would not help.
        wait_s: Seconds after which the tokens needed should be available.
    """

    tokens: int
    remaining: int
    exhausted: bool
    wait_s: float


class NotOwner(msgspec.Struct, tag="not_home", frozen=True):
    """Answers that the sender doesn't own the account's shard.

    Attributes:
        home: Incarnation of the owner; empty if not known.
    """

    home: str


class ReturnTokens(msgspec.Struct, tag="return", frozen=True):
    """Returns unused tokens to the owner of an account's shard.

    Attributes:
        account: Client account.
        tokens: Unused tokens.
        closed_epoch: If a previous owner returns the tokens that it had not
            granted, the epoch in which it was the owner; 0 otherwise.
    """

    account: str
    tokens: int
    closed_epoch: int


class Ack(msgspec.Struct, tag="done", frozen=True):
    """Confirms that a message was applied."""


class HandOverShard(msgspec.Struct, tag="hand_over", frozen=True):
    """Makes the receiver the owner of a shard in place of the sender.

    Attributes:
        shard: Shard of accounts.
        record: The stored record, which still names the sender as the owner.
        version: Version of the stored record.
        granted: Tokens granted so far, by client account.
        usable: Highest total of granted tokens that is allowed until the
            receiver has stored a record of its own, by client account.
        next_ceilings: Number of the next vector of ceilings of the epoch.
    """

    shard: int
    record: pool_record.PoolRecord
    version: int
    granted: dict[str, int]
    usable: dict[str, int]
    next_ceilings: int = 1


class StoreCeilings(msgspec.Struct, tag="ceilings", frozen=True):
    """Makes the receiver hold the ceilings of a shard; answered by ``Ack``.

    Attributes:
        witness: Incarnation that is to hold them; others refuse.
        shard: Shard of accounts.
        epoch: Epoch of the owner, which is the sender.
        number: Number of the vector within the epoch.
        ceilings: Highest total of tokens that the sender hands out, by client
            account.
        witness_sets: Groups of routers. A majority of each must hold a vector
            before the sender hands out more; empty from a router of an older
            build.
    """

    witness: str
    shard: int
    epoch: int
    number: int
    ceilings: dict[str, int]
    witness_sets: list[tuple[str, ...]] = []


class CloseEpoch(msgspec.Struct, tag="close_epoch", frozen=True):
    """Ends an epoch at a witness and requests the newest ceilings of it.

    Attributes:
        witness: Incarnation that held them; others refuse.
        shard: Shard of accounts.
        epoch: Epoch of the previous owner.
        all_epochs: Whether to end all epochs up to this one, and to tell the
            ceilings of the highest epoch that the witness knows.
    """

    witness: str
    shard: int
    epoch: int
    all_epochs: bool = False


class EpochClosed(msgspec.Struct, tag="epoch_closed", frozen=True):
    """Answers ``CloseEpoch``.

    Attributes:
        number: Number of the newest vector; 0 if the witness never held one.
        ceilings: Highest total of tokens handed out, by client account.
        all_epochs: Whether all epochs were asked for; False from a router of
            an older build.
        epoch: Epoch of the ceilings, if all were asked for; 0 for none.
        witness_sets: Groups of routers, a majority of each of which holds the
            ceilings of that epoch.
    """

    number: int
    ceilings: dict[str, int]
    all_epochs: bool = False
    epoch: int = 0
    witness_sets: list[tuple[str, ...]] = []


class AnnounceOrigins(msgspec.Struct, tag="origins", frozen=True):
    """Makes the receiver keep where streams come from; answered by ``Ack``.

    Attributes:
        origins: Streams of the sender and their origins.
    """

    origins: list[announced_stream.AnnouncedStream]


class FindOrigin(msgspec.Struct, tag="find_origin", frozen=True):
    """Asks where a stream comes from.

    Attributes:
        stream_id: Id of the request that brought its first event; empty if the
            caller doesn't name it.
        host: Value of the Host header with which it is taken up.
        path: Path on which it is taken up, without the query; empty from a
            router of an older build.
    """

    stream_id: str
    host: str = ""
    path: str = ""


class OriginFound(msgspec.Struct, tag="origin", frozen=True):
    """Answers ``FindOrigin``.

    Attributes:
        service: Service whose server began the stream.
        version: Version of that server's software; empty if not known.
        recent: Services and versions that recent streams of the path may come
            from, as far as the sender has heard; None from a router of an older
            build, which doesn't tell.
        complete: Whether it knows all of them.
    """

    service: str
    version: str
    recent: list[tuple[str, str]] | None = None
    complete: bool = False


class ChangesQuery(msgspec.Struct, tag="changes?", frozen=True):
    """Requests the changes of objects in the store.

    Attributes:
        prefix: Start of the objects' keys.
        era: Era of the store that the sender knows.
        after_version: Version of the store up to which it knows the changes.
    """

    prefix: str
    era: int
    after_version: int


class ChangesReply(msgspec.Struct, tag="changes", frozen=True):
    """Answers ``ChangesQuery``.

    Attributes:
        era: Era of the store.
        version: Version of the store up to which the entries are complete; 0
            if the sender knows nothing.
        complete: Whether the entries are all objects rather than changes.
        packed: Objects or changes, the oldest change first; see
            ``_platform.packed_entries``.
    """

    era: int
    version: int
    complete: bool
    packed: bytes


class BorrowSlot(msgspec.Struct, tag="borrow_slot", frozen=True):
    """Asks for a slot of a brittle backend server.

    Attributes:
        loan: Id of the loan, unique among all routers.
        service: Service whose server is to run a request.
        version: Software version of the server; None for any.
        excluded: Ids of servers that are not to be used.
        duration_s: Seconds after which the slot is free again at the latest.
    """

    loan: str
    service: str
    version: str | None
    excluded: list[str]
    duration_s: float


class SlotLent(msgspec.Struct, tag="slot_lent", frozen=True):
    """Answers ``BorrowSlot``.

    Attributes:
        server: Id of the server of which a slot is lent; empty for none.
    """

    server: str


class ReturnSlot(msgspec.Struct, tag="return_slot", frozen=True):
    """Gives back a slot; answered by ``Ack``.

    Attributes:
        loan: Id of the loan.
        server: Id of the server; empty if nothing was sent to it.
        rejected: Whether it has turned the request away for want of room.
    """

    loan: str
    server: str
    rejected: bool


class Refused(msgspec.Struct, tag="refused", frozen=True):
    """Answers that the receiver is not the witness or does not know."""


Message = (
    Status
    | DeploymentQuery
    | DeploymentReply
    | TakeTokens
    | TakeTokensReply
    | NotOwner
    | ReturnTokens
    | Ack
    | HandOverShard
    | StoreCeilings
    | CloseEpoch
    | EpochClosed
    | AnnounceOrigins
    | FindOrigin
    | OriginFound
    | ChangesQuery
    | ChangesReply
    | BorrowSlot
    | SlotLent
    | ReturnSlot
    | Refused
)
