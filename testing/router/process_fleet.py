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

SOURCE_ROOT = pathlib.Path(__file__).parents[2] / "src"
# These limits only prevent a test from hanging; nothing is asserted about
# times.
START_TIMEOUT_S = 60.0
WAIT_TIMEOUT_S = 60.0
SETTINGS_TEMPLATE = """\
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
        engines: Addresses by engine.
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
        self.platform_address = self.start_daemon(
            "platform", "standin", "platform"
        )
        self.platform = http_client.HttpPlatform(self.platform_address)
        for name in ("engine-1", "engine-2"):
            self.engines[name] = self.start_daemon(
                name, "standin", "engine", "--name", name
            )
        self.service = self.start_daemon("board-1", "standin", "service")
        self.platform.create(config_codec.CONFIG_KEY, self.encode_config(1))
        for number in (1, 2, 3):
            self.start_router(f"entry-{number}")
        wait_until(
            lambda: [self.read_status(name) for name in self.routers],
            lambda found: all(
                status["state"] == "ready"
                and [p["reachable"] for p in status["peers"].values()]
                == [True, True]
                for status in found
            ),
        )

    def encode_config(self, revision):
        """Return the value of ``config/current`` for a revision."""
        return embedded_config.encode_config(
            embedded_config.build_manifest(
                engines=self.engines,
                services={"board-1": self.service},
                tokens=self._tokens,
                revision=revision,
            )
        )

    def start_daemon(self, name, *arguments):
        """Start a daemon and return the address that it prints first."""
        with open(self._directory / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "jasminetally", *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                env={**os.environ, "PYTHONPATH": str(SOURCE_ROOT)},
            )
        self.processes[name] = process
        ready, _, _ = select.select([process.stdout], [], [], START_TIMEOUT_S)
        assert ready, f"{name} printed no address"
        return process.stdout.readline().split()[0].decode()

    def start_router(self, instance):
        """Add an instance to the instance list and start its router."""
        with contextlib.suppress(_errors.VersionConflictError):
            self.platform.create(
                f"instances/{instance}",
                embedded_config.encode_listed_instance(instance),
            )
        settings = self._directory / f"{instance}.yaml"
        settings.write_text(
            SETTINGS_TEMPLATE.format(
                instance=instance, platform=self.platform_address
            )
        )
        self.routers[instance] = self.start_daemon(
            instance,
            "router",
            str(settings),
            "--http-address=127.0.0.1:0",
            "--peer-address=127.0.0.1:0",
        )

    def send_signal(self, name, number):
        """Send a signal to one process by its id."""
        os.kill(self.processes[name].pid, number)

    def kill_process(self, name):
        """End one process without a drain."""
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def read_status(self, instance):
        """Return the status that a router reports."""
        return self._get_json(f"http://{self.routers[instance]}/v1/status")

    def count_runs(self):
        """Return the number of runs on all engines."""
        return sum(
            sum(self._get_json(f"http://{address}/admin/runs")["runs"].values())
            for address in self.engines.values()
        )

    def set_engine_behaviour(self, **fields):
        """Change the behaviour of all engines."""
        for address in self.engines.values():
            self._post_json(f"http://{address}/admin/faults", fields)

    def set_platform_faults(self, **fields):
        """Change the faults of the platform."""
        self._post_json(f"http://{self.platform_address}/admin/faults", fields)

    def send_chat(self, instance, text, *, stream=False, tokens=8, **headers):
        """Send a chat request; the body of a streamed response is not read."""
        extra_headers = {key.replace("_", "-"): headers[key] for key in headers}
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
                **extra_headers,
            },
            preload_content=not stream,
        )

    def read_record(self, account=embedded_config.CLIENT_ACCOUNT):
        """Return the record of a client account."""
        return record_codec.decode(
            self.platform.get(f"account/{account}").value
        )

    def read_budget(self, account=embedded_config.CLIENT_ACCOUNT):
        """Return the budget of a client account."""
        return self.read_record(account).budgets["general"]

    def _get_json(self, url):
        return json.loads(self.http.request("GET", url).data)

    def _post_json(self, url, fields):
        reply = self.http.request("POST", url, body=json.dumps(fields))
        assert reply.status == 200


def wait_until(read, is_accepted):
    """Read a value until it is accepted and return it."""
    end_s = time.monotonic() + WAIT_TIMEOUT_S
    while True:
        value = read()
        if is_accepted(value):
            return value
        assert time.monotonic() < end_s, value
        time.sleep(0.05)
