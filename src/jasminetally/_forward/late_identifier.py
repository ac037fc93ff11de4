"""Identification of the process that has begun a stream, after its start."""

from __future__ import annotations

import asyncio

from jasminetally._forward import process_identifier
from jasminetally._forward import request_job
from jasminetally._forward import server_connection
from jasminetally._placing import process_versions
from jasminetally._placing import server_entry
from jasminetally._placing import server_process
from jasminetally._shared import background_tasks
from jasminetally._streams import origin_service
from jasminetally._streams import process_label
from jasminetally._streams import stream_origin

# Queries for the start of a process, and the pause between two: a server that
# has not reported in time is likely to do so soon.
MAX_QUERIES = 3
QUERY_INTERVAL_S = 0.5


class LateIdentifier:
    """Finds out which process has begun a stream without being identified.

    A process that was known before the stream's connection was opened, and that
    reports on a connection opened later, has served in between.

    Args:
        identifier: Asks servers when their processes have started.
        versions: Versions of the servers' processes.
        origins: Receives the origins that are found.
        tasks: Runs the queries in the background.
    """

    def __init__(
        self,
        identifier: process_identifier.ProcessIdentifier,
        versions: process_versions.ProcessVersions,
        origins: origin_service.OriginService,
        tasks: background_tasks.BackgroundTasks,
    ) -> None:
        self._identifier = identifier
        self._versions = versions
        self._origins = origins
        self._tasks = tasks

    def start(
        self,
        job: request_job.RequestJob,
        server: server_entry.ServerEntry,
        conn: server_connection.ServerConnection,
    ) -> None:
        """Look for the origin of a stream in the background.

        Args:
            job: Request whose stream has begun.
            server: Entry of the server that has begun it.
            conn: Connection on which it has begun.
        """
        self._tasks.start_concurrent(
            f"identify {server.server_id}",
            self._find(job, job.stream_id, server, conn.connect_began_s),
        )

    async def _find(
        self,
        job: request_job.RequestJob,
        stream_id: str,
        server: server_entry.ServerEntry,
        connect_began_s: float,
    ) -> None:
        for _ in range(MAX_QUERIES):
            started_ms = await self._identifier.ask_start(server)
            if started_ms is not None:
                break
            await asyncio.sleep(QUERY_INTERVAL_S)
        else:
            return
        process = server_process.ServerProcess(server.server_id, started_ms)
        known_since_s = self._versions.known_since_s(process)
        version = self._versions.get(process)
        if version is None or known_since_s >= connect_began_s:
            return
        origin = stream_origin.StreamOrigin(job.service, version)
        self._origins.on_identified(stream_id, origin)
        if process_label.is_unknown(job.required_version):
            job.required_version = version
