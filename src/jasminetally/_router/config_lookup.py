"""Look-ups in the configuration in force."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING

from jasminetally import _errors
from jasminetally._router import request_terms

if TYPE_CHECKING:
    from jasminetally._config import backend_server
    from jasminetally._config import event as event_module
    from jasminetally._config import manifest as manifest_module
    from jasminetally._config import tier as tier_module

BEARER_PREFIX = "bearer "
KEY_INDEX_DIGITS = 6


class ConfigLookup:
    """Look-ups of requests in one revision of the manifest; immutable.

    Args:
        manifest: Manifest of the revision.

    Attributes:
        manifest: Manifest of the revision.
    """

    def __init__(self, manifest: manifest_module.Manifest) -> None:
        self.manifest = manifest
        # Indexed by the first digits of the hash, so that a request compares
        # few full hashes.
        self._accounts_by_key_prefix: dict[str, list[tuple[str, str]]] = {}
        for account in manifest.client_accounts.values():
            for key_hash in account.key_hashes:
                self._accounts_by_key_prefix.setdefault(
                    key_hash[:KEY_INDEX_DIGITS], []
                ).append((key_hash, account.name))
        live = [tier for tier in manifest.tiers.values() if tier.kind == "live"]
        # An unmodified OpenAI client names neither event nor tier. The live
        # tier with the lowest priority lets its requests run without overtaking
        # those of other tiers.
        self._highest_live_priority = max(
            (tier.priority for tier in live), default=0
        )
        self._default_tier = min(
            live or manifest.tiers.values(),
            key=lambda tier: (tier.priority, tier.name),
            default=None,
        )

    def authenticate(self, authorization: str | None) -> str:
        """Return the client account of an ``Authorization`` header.

        Raises:
            CallerError: The header has no valid API key.
        """
        text = authorization or ""
        if text[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
            raise _invalid_key_error(
                "the request has no API key; send Authorization: Bearer <key>"
            )
        key = text[len(BEARER_PREFIX) :].strip().encode()
        presented_hash = hashlib.sha256(key).hexdigest()
        for key_hash, account in self._accounts_by_key_prefix.get(
            presented_hash[:KEY_INDEX_DIGITS], ()
        ):
            if hmac.compare_digest(key_hash, presented_hash):
                return account
        raise _invalid_key_error("the API key is unknown")

    def resolve_terms(
        self,
        client_account: str,
        *,
        event: str | None,
        tier: str | None,
        now_wall_s: float,
    ) -> request_terms.RequestTerms:
        """Return the terms of a request.

        Args:
            client_account: Name of an existing client account.
            event: Event that the caller named, or None.
            tier: Tier that the caller named, or None.
            now_wall_s: Wall clock time, seconds since 1970 UTC.

        Raises:
            CallerError: The event or tier is not available to this client
                account.
        """
        account = self.manifest.client_accounts[client_account]
        named_event = self._find_event(client_account, event)
        selected_tier = self._find_tier(
            tier or (named_event.default_tier if named_event else None)
        )
        deadline_s = now_wall_s + selected_tier.limit_s
        if named_event and now_wall_s < named_event.start_s:
            deadline_s = min(deadline_s, named_event.start_s)
        return request_terms.RequestTerms(
            client_account,
            named_event.budget if named_event else account.default_budget,
            event,
            selected_tier,
            deadline_s,
            self._routing_tier(selected_tier),
        )

    def check_model(self, model: str, *, max_tokens: int) -> None:
        """Check that a model exists and that its context fits the answer.

        Raises:
            CallerError: The model does not exist, or its context is smaller
                than ``max_tokens``.
        """
        known_model = self.manifest.models.get(model)
        if known_model is None:
            raise _errors.CallerError(
                f"model {model[:80]!r} is unknown; known models: "
                f"{', '.join(sorted(self.manifest.models))}",
                status=404,
                code="unknown_model",
            )
        if max_tokens > known_model.context_tokens:
            raise _errors.CallerError(
                f"max_tokens is {max_tokens}; model {model!r} has a context "
                f"of {known_model.context_tokens} tokens",
                status=400,
                code="invalid_body",
            )

    def find_services(self, service: str) -> list[backend_server.BackendServer]:
        """Return the backend servers of a plain service.

        Raises:
            CallerError: The service is not in the manifest.
        """
        servers = [
            server
            for server in self.manifest.backend_servers.values()
            if server.kind == "service" and server.service == service
        ]
        if not servers:
            raise _errors.CallerError(
                f"service {service[:80]!r} is unknown",
                status=404,
                code="unknown_service",
            )
        return servers

    def _find_event(
        self, client_account: str, event: str | None
    ) -> event_module.Event | None:
        if event is None:
            return None
        named_event = self.manifest.events.get(event)
        if named_event is None or named_event.client_account != client_account:
            # Both cases get the same error, so that a caller can't find out
            # which events other client accounts have.
            raise _errors.CallerError(
                f"event {event[:80]!r} does not exist for this client account",
                status=403,
                code="unknown_event",
            )
        return named_event

    def _routing_tier(self, tier: tier_module.Tier) -> str:
        """Return the tier of the routing policy for a tier of the manifest.

        Live tiers of the highest priority are the most urgent. Overnight tiers
        leave capacity for live requests and gain priority as they wait.
        """
        if tier.kind == "overnight":
            return "overnight"
        if tier.priority == self._highest_live_priority:
            return "live"
        return "standard"

    def _find_tier(self, tier: str | None) -> tier_module.Tier:
        if tier is None:
            if self._default_tier is None:
                raise _errors.CallerError(
                    "the request names no tier and none is configured",
                    status=400,
                    code="unknown_tier",
                )
            return self._default_tier
        named_tier = self.manifest.tiers.get(tier)
        if named_tier is None:
            raise _errors.CallerError(
                f"tier {tier[:80]!r} is unknown; known tiers: "
                f"{', '.join(sorted(self.manifest.tiers))}",
                status=400,
                code="unknown_tier",
            )
        return named_tier


def _invalid_key_error(message: str) -> _errors.CallerError:
    return _errors.CallerError(message, status=401, code="invalid_api_key")
