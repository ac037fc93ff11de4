"""Fixtures: the adapter, and stand-ins of the users' store and engines."""

from __future__ import annotations

import asyncio
import importlib.util
import pathlib
import sys

import pytest

from testing.users_platform import local_fleet

ROOT = pathlib.Path(__file__).parents[2]
ADAPTER = ROOT / "platform"


def load(path: pathlib.Path, name: str):
    """Import a file that is not part of a package, once."""
    if name not in sys.modules:
        spec = importlib.util.spec_from_file_location(name, path)
        module = importlib.util.module_from_spec(spec)
        sys.modules[name] = module
        spec.loader.exec_module(module)
    return sys.modules[name]


@pytest.fixture(scope="session")
def formats():
    return load(ADAPTER / "formats.py", "formats")


@pytest.fixture(scope="session")
def object_store():
    return load(ADAPTER / "object_store.py", "object_store")


@pytest.fixture(scope="session")
def boot_settings():
    return load(ADAPTER / "boot_settings.py", "boot_settings")


@pytest.fixture(scope="session")
def deployed(formats, object_store):
    """Return a function that runs a coroutine inside a deployment."""

    def run(scenario, **options):
        async def main():
            site = local_fleet.Site(formats, object_store, **options)
            await site.start()
            try:
                async with asyncio.timeout(60):
                    return await scenario(site)
            finally:
                await site.stop()

        return asyncio.run(main())

    return run
