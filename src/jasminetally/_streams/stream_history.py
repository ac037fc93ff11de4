"""Origins that recent streams may have."""

from __future__ import annotations

from collections.abc import Iterable

from jasminetally._deployment import route as route_lib
from jasminetally._streams import history_record
from jasminetally._streams import route_key
from jasminetally._streams import stream_origin
from jasminetally._streams import value_history


class StreamHistory:
    """Keeps the services and versions that recent streams may come from.

    As long as a path has led to one service and this has had one version only,
    every stream of the path comes from there, and nothing need be known about
    the stream itself. This holds only if the history is complete: a router
    that has just started knows nothing of the streams before. Performs no I/O.
    """

    def __init__(self) -> None:
        self._versions: value_history.ValueHistory[str]
        self._versions = value_history.ValueHistory()
        self._services: value_history.ValueHistory[route_key.RouteKey]
        self._services = value_history.ValueHistory()
        self._complete_from_s = float("inf")

    def set_incomplete(self, now_s: float) -> None:
        """Note that origins of streams that began before may not be known.

        Once these have ended, the history is complete.

        Args:
            now_s: Monotonic time in seconds.
        """
        self._complete_from_s = now_s + value_history.STREAM_LIFETIME_S

    def set_complete(self) -> None:
        """Note that everything is known that streams may come from."""
        self._complete_from_s = float("-inf")

    def is_complete(self, now_s: float) -> bool:
        """Return whether all streams that are still read are covered."""
        return now_s >= self._complete_from_s

    def on_servers(
        self, present: Iterable[tuple[str, str]], now_s: float
    ) -> set[str]:
        """Note which versions serve at a time.

        Args:
            present: Service and version of each server.
            now_s: Monotonic time in seconds.

        Returns:
            Services whose streams may now have several origins, but could not
            before.
        """
        versions: dict[str, set[str]] = {}
        for service, version in present:
            versions.setdefault(service, set()).add(version)
        return set(self._versions.update(versions, now_s))

    def on_routes(
        self, routes: Iterable[route_lib.Route], now_s: float
    ) -> set[str]:
        """Note the routes of a configuration that comes into force.

        Args:
            routes: All routes of the configuration.
            now_s: Monotonic time in seconds.

        Returns:
            Services whose streams may now have several origins, but could not
            before.
        """
        services = {
            route_key.RouteKey(route.host, route.path_prefix): [
                found.service for found in route.services
            ]
            for route in routes
            if route.resumable
        }
        return self._services_of(self._services.update(services, now_s), now_s)

    def merge(
        self, record: history_record.HistoryRecord, now_s: float
    ) -> set[str]:
        """Add what other routers have stored.

        Args:
            record: What they have stored.
            now_s: Monotonic time in seconds.

        Returns:
            Services whose streams may now have several origins, but could not
            before.
        """
        services = {
            route_key.RouteKey(host, path_prefix): found
            for host, prefixes in record.routes.items()
            for path_prefix, found in prefixes.items()
        }
        return self._services_of(
            self._services.merge(services, now_s), now_s
        ).union(self._versions.merge(record.versions, now_s))

    def export(self, era: int, now_s: float) -> history_record.HistoryRecord:
        """Return what routers must know that start later.

        Args:
            era: Era of the store in which it is to be written.
            now_s: Monotonic time in seconds.
        """
        routes: dict[str, dict[str, list[str]]] = {}
        for key, services in self._services.export(now_s).items():
            routes.setdefault(key.host, {})[key.path_prefix] = services
        return history_record.HistoryRecord(
            era, self._versions.export(now_s), routes
        )

    def only_origin(
        self, host: str, path: str, now_s: float
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of all recent streams of a path.

        Args:
            host: Value of the request's Host header.
            path: Path of the request, without the query.
            now_s: Monotonic time in seconds.

        Returns:
            The origin; None if there may be several, or it is not certain.
        """
        services = self._services_of_path(host, path, now_s)
        if not self.is_complete(now_s) or len(services) != 1:
            return None
        (service,) = services
        versions = self._versions.values(service, now_s)
        if len(versions) != 1:
            return None
        (version,) = versions
        return stream_origin.StreamOrigin(service, version)

    def is_expired(
        self, origin: stream_origin.StreamOrigin, now_s: float
    ) -> bool:
        """Return whether an origin is known, but not that of recent streams.

        Args:
            origin: The origin.
            now_s: Monotonic time in seconds.
        """
        expired = self._versions.expired_values(origin.service, now_s)
        return origin.version in expired

    def recent_origins(
        self, host: str, path: str, now_s: float
    ) -> set[stream_origin.StreamOrigin]:
        """Return the known origins that recent streams of a path may have.

        Args:
            host: Value of the request's Host header.
            path: Path of the request, without the query.
            now_s: Monotonic time in seconds.
        """
        return {
            stream_origin.StreamOrigin(service, version)
            for service in self._services_of_path(host, path, now_s)
            for version in self._versions.values(service, now_s)
        }

    def _services_of_path(self, host: str, path: str, now_s: float) -> set[str]:
        """Return the services that recent streams of a path may come from.

        Routes with a shorter prefix count too: the one with the longest prefix
        may have been added since.
        """
        found: set[str] = set()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            key = route_key.RouteKey(host, path[: end + 1])
            found |= self._services.values(key, now_s)
        return found

    def _services_of(
        self, keys: Iterable[route_key.RouteKey], now_s: float
    ) -> set[str]:
        return {
            service
            for key in keys
            for service in self._services.values(key, now_s)
        }
