"""Platform, engines, a service and routers as processes on loopback."""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import select
import signal
import subprocess
import sys
import time

import urllib3

from jasminetally import _errors
from jasminetally._config import config_codec
from jasminetally._ledger import record_codec
from jasminetally._platform import http_client
from jasminetally._router import embedded_config

SOURCE = pathlib.Path(__file__).parents[2] / "src"
# Bounds against hanging only; nothing is asserted about times.
START_TIMEOUT_S = 60.0
WAIT_TIMEOUT_S = 60.0
SETTINGS = """\
instance: {instance}
data_centre: local
http_address: 127.0.0.1:1
peer_address: 127.0.0.1:1
platform_address: {platform}
"""


class ProcessFleet:
    """Start daemons as processes; a context manager that ends them by id.

    Attributes:
        routers: Addresses for callers by instance.
        processes: All processes by name.
    """

    def __init__(self, directory, *, tokens=200_000):
        self._directory = directory
        self._tokens = tokens
        self.processes = {}
        self.routers = {}
        self.engines = {}
        self.http = urllib3.PoolManager(retries=False, timeout=WAIT_TIMEOUT_S)

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
            process.stdout.close()

    def _start(self):
        self.platform_address = self.run("platform", "standin", "platform")
        self.platform = http_client.HttpPlatform(self.platform_address)
        for name in ("engine-1", "engine-2"):
            self.engines[name] = self.run(
                name, "standin", "engine", "--name", name
            )
        self.service = self.run("board-1", "standin", "service")
        self.platform.create(config_codec.CONFIG_KEY, self.config(1))
        for number in (1, 2, 3):
            self.start_router(f"entry-{number}")
        wait_for(
            lambda: [self.status(name) for name in self.routers],
            lambda found: all(
                status["state"] == "ready"
                and [p["reachable"] for p in status["peers"].values()]
                == [True, True]
                for status in found
            ),
        )

    def config(self, revision):
        """Return the content of ``config/current`` with a revision."""
        return embedded_config.encode_config(
            embedded_config.build_manifest(
                engines=self.engines,
                services={"board-1": self.service},
                tokens=self._tokens,
                revision=revision,
            )
        )

    def run(self, name, *arguments):
        """Start a daemon; return the address that it prints first."""
        with open(self._directory / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "jasminetally", *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(SOURCE)},
            )
        self.processes[name] = process
        ready, _, _ = select.select([process.stdout], [], [], START_TIMEOUT_S)
        assert ready, f"{name} printed no address"
        return process.stdout.readline().split()[0].decode()

    def start_router(self, instance):
        """Start a router and list its instance."""
        with contextlib.suppress(_errors.VersionConflictError):
            self.platform.create(
                f"instances/{instance}",
                embedded_config.encode_listed_instance(instance),
            )
        settings = self._directory / f"{instance}.yaml"
        settings.write_text(
            SETTINGS.format(instance=instance, platform=self.platform_address)
        )
        self.routers[instance] = self.run(
            instance,
            "router",
            str(settings),
            "--http-address=127.0.0.1:0",
            "--peer-address=127.0.0.1:0",
        )

    def signal(self, name, number):
        """Send a signal to one process by its id."""
        os.kill(self.processes[name].pid, number)

    def kill(self, name):
        """End one process without a drain."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def status(self, instance):
        """Return a router's status."""
        return self._json(f"http://{self.routers[instance]}/v1/status")

    def runs(self):
        """Return the number of runs at all engines."""
        return sum(
            sum(self._json(f"http://{address}/admin/runs")["runs"].values())
            for address in self.engines.values()
        )

    def set_engines(self, **fields):
        """Change the behaviour of all engines."""
        for address in self.engines.values():
            self._post(f"http://{address}/admin/faults", fields)

    def set_platform(self, **fields):
        """Change the faults of the platform."""
        self._post(f"http://{self.platform_address}/admin/faults", fields)

    def chat(self, instance, text, *, stream=False, tokens=8, **headers):
        """Send a chat request; a streamed response is not read yet."""
        named = {key.replace("_", "-"): headers[key] for key in headers}
        body = {
            "model": embedded_config.MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
            "stream": stream,
        }
        return self.http.request(
            "POST",
            f"http://{self.routers[instance]}/v1/chat/completions",
            body=json.dumps(body),
            headers={
                "Authorization": f"Bearer {embedded_config.API_KEY}",
                **named,
            },
            preload_content=not stream,
        )

    def record(self, account=embedded_config.CLIENT_ACCOUNT):
        """Return the record of an account."""
        return record_codec.decode(
            self.platform.get(f"account/{account}").value
        )

    def budget(self, account=embedded_config.CLIENT_ACCOUNT):
        """Return the budget of an account."""
        return self.record(account).budgets["general"]

    def _json(self, url):
        return json.loads(self.http.request("GET", url).data)

    def _post(self, url, fields):
        reply = self.http.request("POST", url, body=json.dumps(fields))
        assert reply.status == 200


def wait_for(read, accept):
    """Read until a value is accepted; return it."""
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while True:
        value = read()
        if accept(value):
            return value
        assert time.monotonic() < end_s, value
        time.sleep(0.05)
