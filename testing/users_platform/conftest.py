"""Fixtures of the users' platform tests: the platform's modules and a fleet."""

from __future__ import annotations

import asyncio
import importlib.util
import pathlib
import sys

import pytest

from testing.users_platform import local_fleet

ROOT = pathlib.Path(__file__).parents[2]
ADAPTER_FOLDER = ROOT / "platform"


def import_file(path: pathlib.Path, name: str):
    """Import a file that is not part of a package, unless it is imported."""
    if name not in sys.modules:
        spec = importlib.util.spec_from_file_location(name, path)
        module = importlib.util.module_from_spec(spec)
        sys.modules[name] = module
        spec.loader.exec_module(module)
    return sys.modules[name]


@pytest.fixture(scope="session")
def formats():
    return import_file(ADAPTER_FOLDER / "formats.py", "formats")


@pytest.fixture(scope="session")
def object_store():
    return import_file(ADAPTER_FOLDER / "object_store.py", "object_store")


@pytest.fixture(scope="session")
def boot_settings():
    return import_file(ADAPTER_FOLDER / "boot_settings.py", "boot_settings")


@pytest.fixture(scope="session")
def run_with_fleet(formats, object_store):
    """Return a function that runs a scenario against a fleet.

    The scenario is a coroutine function that takes the fleet. It must end
    within 60 s. Keyword options are passed on to ``local_fleet.Fleet``.
    """

    def run(scenario, **options):
        async def main():
            fleet = local_fleet.Fleet(formats, object_store, **options)
            await fleet.start()
            try:
                async with asyncio.timeout(60):
                    return await scenario(fleet)
            finally:
                await fleet.stop()

        return asyncio.run(main())

    return run
