"""Messages between routers.

One file, since together they are one union that the codec decodes.
"""

from __future__ import annotations

import msgspec

from jasminetally._peers import node_identity
from jasminetally._prepaid import pool_record


class Status(msgspec.Struct, tag="status", frozen=True):
    """State of a router, sent to others and returned by them.

    Attributes:
        sender: The router.
        deployment_version: Version of the configuration in force there; 0
            for none.
        ready: It takes requests.
        leaving: It is shutting down.
        store_reachable: It reaches the platform's store.
        loads: Running requests and waiting prompt tokens by server.
        homes: Epochs of the shards whose prepaid tokens it hands out.
        scarce: Accounts of these that are nearly used up.
        time_of_day_s: Its clock.
        started_s: Time of day of its start, by the routers' agreed clock;
            None if that is not known.
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


class DeploymentQuery(msgspec.Struct, tag="fetch", frozen=True):
    """Asks for the configuration in force."""


class DeploymentReply(msgspec.Struct, tag="fetched", frozen=True):
    """Configuration in force.

    Attributes:
        packed: Compressed stored form; empty if none is in force.
        routers: Routers that the sender knows to be alive.
    """

    packed: bytes
    routers: list[node_identity.NodeIdentity]


class TakeTokens(msgspec.Struct, tag="take", frozen=True):
    """Asks the home of an account for prepaid tokens.

    Attributes:
        account: Client account.
        needed: Tokens without which a request can't run.
        wished: Tokens that would be welcome, at least those needed.
    """

    account: str
    needed: int
    wished: int


class TakeTokensReply(msgspec.Struct, tag="taken", frozen=True):
    """Answers ``TakeTokens``.

    Attributes:
        tokens: Tokens handed out; 0 if those needed are not left.
        remaining: Tokens that are left and open to requests.
        exhausted: Not even all that has been paid for would cover the need.
        wait_s: Seconds after which those needed should be available.
    """

    tokens: int
    remaining: int
    exhausted: bool
    wait_s: float


class NotOwner(msgspec.Struct, tag="not_home", frozen=True):
    """The receiver does not hand out tokens of the account.

    Attributes:
        home: Incarnation that does, if known.
    """

    home: str


class ReturnTokens(msgspec.Struct, tag="return", frozen=True):
    """Gives unused tokens back to the home of an account.

    Attributes:
        account: Client account.
        tokens: Unused tokens.
        closed_epoch: Epoch whose home the sender was and no longer is, if
            the tokens are those that it had not handed out; 0 otherwise.
    """

    account: str
    tokens: int
    closed_epoch: int


class Ack(msgspec.Struct, tag="done", frozen=True):
    """The message was applied."""


class HandOverShard(msgspec.Struct, tag="hand_over", frozen=True):
    """Makes the receiver the home of a shard in the sender's place.

    Attributes:
        shard: Shard of accounts.
        record: The stored record, which still names the sender.
        version: Version of the stored record.
        granted: Tokens handed out so far, by account.
        usable: Tokens that may be handed out in all until the receiver has
            stored a record of its own, by account.
    """

    shard: int
    record: pool_record.PoolRecord
    version: int
    granted: dict[str, int]
    usable: dict[str, int]


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
)
