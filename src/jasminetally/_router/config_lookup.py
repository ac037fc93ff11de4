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
    """Look-ups for requests in one revision of the manifest; immutable.

    Attributes:
        manifest: The manifest.
    """

    def __init__(self, manifest: manifest_module.Manifest) -> None:
        self.manifest = manifest
        # By a short part of the hash, so that few full hashes are compared.
        self._accounts_by_key_prefix: dict[str, list[tuple[str, str]]] = {}
        for account in manifest.client_accounts.values():
            for key_hash in account.key_hashes:
                self._accounts_by_key_prefix.setdefault(
                    key_hash[:KEY_INDEX_DIGITS], []
                ).append((key_hash, account.name))
        live = [tier for tier in manifest.tiers.values() if tier.kind == "live"]
        # An unmodified client names neither event nor tier. The live tier
        # with the lowest priority lets it run without passing the others.
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
            CallerError: The header has no valid key.
        """
        text = authorization or ""
        if text[: len(BEARER_PREFIX)].lower() != BEARER_PREFIX:
            raise _invalid_key_error("no key; send Authorization: Bearer <key>")
        key = text[len(BEARER_PREFIX) :].strip().encode()
        found = hashlib.sha256(key).hexdigest()
        for key_hash, account in self._accounts_by_key_prefix.get(
            found[:KEY_INDEX_DIGITS], ()
        ):
            if hmac.compare_digest(key_hash, found):
                return account
        raise _invalid_key_error("the key is not known")

    def resolve_terms(
        self,
        client_account: str,
        *,
        event: str | None,
        tier: str | None,
        now_wall_s: float,
    ) -> request_terms.RequestTerms:
        """Return the terms for a request.

        Args:
            client_account: Name of an existing client account.
            event: Event that the caller named, or None.
            tier: Tier that the caller named, or None.
            now_wall_s: Wall clock time in seconds.

        Raises:
            CallerError: Event or tier is not available to this account.
        """
        account = self.manifest.client_accounts[client_account]
        found = self._find_event(client_account, event)
        chosen = self._find_tier(
            tier or (found.default_tier if found else None)
        )
        deadline_s = now_wall_s + chosen.limit_s
        if found and now_wall_s < found.start_s:
            deadline_s = min(deadline_s, found.start_s)
        return request_terms.RequestTerms(
            client_account,
            found.budget if found else account.default_budget,
            event,
            chosen,
            deadline_s,
            self._routing_tier(chosen),
        )

    def check_model(self, model: str, *, max_tokens: int) -> None:
        """Check that a model exists and can give an answer of this length.

        Raises:
            CallerError: It does not exist or the answer is too long for it.
        """
        known = self.manifest.models.get(model)
        if known is None:
            raise _errors.CallerError(
                f"model {model[:80]!r} is unknown; known models: "
                f"{', '.join(sorted(self.manifest.models))}",
                status=404,
                code="unknown_model",
            )
        if max_tokens > known.context_tokens:
            raise _errors.CallerError(
                f"max_tokens is {max_tokens}; model {model!r} has a context "
                f"of {known.context_tokens} tokens",
                status=400,
                code="invalid_body",
            )

    def find_services(self, service: str) -> list[backend_server.BackendServer]:
        """Return the backend servers of a plain service.

        Raises:
            CallerError: No such service is declared.
        """
        found = [
            server
            for server in self.manifest.backend_servers.values()
            if server.kind == "service" and server.service == service
        ]
        if not found:
            raise _errors.CallerError(
                f"service {service[:80]!r} is unknown",
                status=404,
                code="unknown_service",
            )
        return found

    def _find_event(
        self, client_account: str, event: str | None
    ) -> event_module.Event | None:
        if event is None:
            return None
        found = self.manifest.events.get(event)
        if found is None or found.client_account != client_account:
            # One answer for both cases, so that a caller can't find out which
            # events other client accounts have.
            raise _errors.CallerError(
                f"event {event[:80]!r} does not exist for this client account",
                status=403,
                code="unknown_event",
            )
        return found

    def _routing_tier(self, tier: tier_module.Tier) -> str:
        """Return the tier of the routing policy that a tier belongs to.

        The live tiers of the highest priority are the most urgent; overnight
        ones leave room for live requests and age.
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
                    "no tier is configured", status=400, code="unknown_tier"
                )
            return self._default_tier
        found = self.manifest.tiers.get(tier)
        if found is None:
            raise _errors.CallerError(
                f"tier {tier[:80]!r} is unknown; known tiers: "
                f"{', '.join(sorted(self.manifest.tiers))}",
                status=400,
                code="unknown_tier",
            )
        return found


def _invalid_key_error(message: str) -> _errors.CallerError:
    return _errors.CallerError(message, status=401, code="invalid_api_key")
