"""Software versions that may have begun a stream that is still read."""

from __future__ import annotations

from collections.abc import Iterable

# Longest time from the first event of a stream to its last one, over all
# attempts of its caller.
STREAM_LIFETIME_S = 300.0


class VersionHistory:
    """Keeps the versions of each service that recent streams may come from.

    As long as a service has had one version only, every stream of it comes from
    this version, and nothing need be known about the stream itself. Performs no
    I/O.

    Attributes:
        loaded: Whether the versions from before the router's start are known.
    """

    def __init__(self) -> None:
        self.loaded = False
        # Monotonic time at which each version was last seen, by service.
        self._last_seen_s: dict[str, dict[str, float]] = {}

    def update(
        self, present: Iterable[tuple[str, str]], now_s: float
    ) -> list[str]:
        """Note which versions serve at a time.

        Args:
            present: Service and version of each server.
            now_s: Monotonic time in seconds.

        Returns:
            Services in which streams of several versions may now be read, but
            could not be before.
        """
        before = {
            service
            for service in self._last_seen_s
            if len(self.versions(service, now_s)) > 1
        }
        for service, version in present:
            self._last_seen_s.setdefault(service, {})[version] = now_s
        for service, seen_s in self._last_seen_s.items():
            self._last_seen_s[service] = {
                version: last_s
                for version, last_s in seen_s.items()
                if now_s - last_s <= STREAM_LIFETIME_S
            }
        return [
            service
            for service, seen_s in self._last_seen_s.items()
            if len(seen_s) > 1 and service not in before
        ]

    def services(self) -> list[str]:
        """Return the services with a known version."""
        return list(self._last_seen_s)

    def versions(self, service: str, now_s: float) -> set[str]:
        """Return the versions that recent streams may come from.

        Args:
            service: The service.
            now_s: Monotonic time in seconds.
        """
        seen_s = self._last_seen_s.get(service, {})
        return {
            version
            for version, last_s in seen_s.items()
            if now_s - last_s <= STREAM_LIFETIME_S
        }

    def only_version(self, service: str, now_s: float) -> str | None:
        """Return the version of all recent streams; None if not certain.

        Args:
            service: The service.
            now_s: Monotonic time in seconds.
        """
        versions = self.versions(service, now_s)
        if not self.loaded or len(versions) != 1:
            return None
        return next(iter(versions))
