"""Index of the backend servers that may get new requests."""

from __future__ import annotations

from jasminetally._placing import server_record


class UsableServers:
    """Index by service of the servers that may get new requests.

    A change of one server costs the same however many there are: at a start,
    each router takes in the entries of all servers one by one.
    """

    def __init__(self) -> None:
        self._by_service: dict[str, dict[str, server_record.ServerRecord]] = {}
        self._service_of: dict[str, str] = {}
        # Copies for readers, made when first read after a change.
        self._lists: dict[str, list[server_record.ServerRecord]] = {}

    def update(self, record: server_record.ServerRecord) -> None:
        """Add, keep or remove a server according to its record.

        Args:
            record: Record of the server after a change of its entry, its
                notices, its removal or the evacuation of its data centre.
        """
        server_id, service = record.entry.server_id, record.entry.service
        usable = not record.leaving and not record.evacuated
        former = self._service_of.get(server_id)
        if former is not None and (former != service or not usable):
            self._remove(server_id, former)
        if not usable:
            return
        records = self._by_service.setdefault(service, {})
        if records.get(server_id) is not record:
            records[server_id] = record
            self._service_of[server_id] = service
            self._lists.pop(service, None)

    def services(self) -> list[str]:
        """Return the services that have usable servers."""
        return list(self._by_service)

    def records(self, service: str) -> list[server_record.ServerRecord]:
        """Return the records of a service's usable servers."""
        found = self._lists.get(service)
        if found is None:
            found = list(self._by_service.get(service, {}).values())
            if found:
                self._lists[service] = found
        return found

    def _remove(self, server_id: str, service: str) -> None:
        del self._service_of[server_id]
        records = self._by_service[service]
        del records[server_id]
        if not records:
            del self._by_service[service]
        self._lists.pop(service, None)
