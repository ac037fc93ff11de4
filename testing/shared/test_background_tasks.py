"""Tests of background tasks."""

from __future__ import annotations

import asyncio

from jasminetally._shared import background_tasks


def test_needed_task_is_started_again_after_a_failure(log, monkeypatch):
    """Guards against a process that goes on without following the store."""
    monkeypatch.setattr(background_tasks, "RESTART_DELAY_S", 0.0)
    runs = []

    async def run():
        runs.append(None)
        if len(runs) < 3:
            raise ValueError("odd entry")

    async def scenario():
        tasks = background_tasks.BackgroundTasks(log)
        tasks.keep_running("watch", run)
        await tasks.wait("watch", 5.0)

    asyncio.run(scenario())
    assert len(runs) == 3


def test_needed_task_ends_when_it_is_cancelled(log):
    """Guards against tasks that outlive their process's shutdown."""
    runs = []

    async def run():
        runs.append(None)
        await asyncio.sleep(60)

    async def scenario():
        tasks = background_tasks.BackgroundTasks(log)
        tasks.keep_running("watch", run)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        tasks.cancel_all()
        await tasks.wait("watch", 5.0)

    asyncio.run(scenario())
    assert len(runs) == 1
