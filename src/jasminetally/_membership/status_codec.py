"""Codec for status objects and for entries of the platform's list."""

from __future__ import annotations

import msgspec

from jasminetally import _errors
from jasminetally._membership import incarnation
from jasminetally._membership import listed_instance
from jasminetally._membership import router_status
from jasminetally._platform import entry

STATUS_PREFIX = "router/"
INSTANCE_LIST_PREFIX = "instances/"

_status_decoder = msgspec.json.Decoder(router_status.RouterStatus)
_listed_decoder = msgspec.json.Decoder(listed_instance.ListedInstance)


def encode_status(status: router_status.RouterStatus) -> bytes:
    """Encode a status as the content of ``router/<instance>``."""
    return msgspec.json.encode(status)


def decode_status(found: entry.Entry) -> router_status.RouterStatus:
    """Decode a status object.

    The first write of a process leaves the incarnation empty; it is then
    derived from the version of the object.

    Raises:
        PlatformError: The object cannot be decoded.
    """
    try:
        status = _status_decoder.decode(found.value or b"")
    except msgspec.MsgspecError as exc:
        raise _errors.PlatformError(
            f"{found.key} cannot be decoded: {exc}"
        ) from exc
    if status.incarnation:
        return status
    number = incarnation.make_name(status.instance, found.version)
    return status._replace(incarnation=number)


def decode_listed_instance(
    found: entry.Entry,
) -> listed_instance.ListedInstance:
    """Decode an entry of the platform's list of instances.

    Raises:
        PlatformError: The object cannot be decoded.
    """
    try:
        return _listed_decoder.decode(found.value or b"")
    except msgspec.MsgspecError as exc:
        raise _errors.PlatformError(
            f"{found.key} cannot be decoded: {exc}"
        ) from exc
