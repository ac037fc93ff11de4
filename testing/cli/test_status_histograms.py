"""Tests of ``status --histograms``."""

from __future__ import annotations

import json

import cleo.testers.command_tester as command_tester
import urllib3

from jasminetally._cli import status_command
from jasminetally._router import embedded_config
from jasminetally._router import embedded_deployment


def test_status_shows_the_histograms_of_each_router():
    """Guards against latencies that only a router's HTTP interface shows."""
    with embedded_deployment.EmbeddedDeployment() as deployed:
        address = deployed.routers[0].http_address
        response = urllib3.request(
            "POST",
            f"http://{address}/v1/chat/completions",
            headers={"Authorization": f"Bearer {embedded_config.API_KEY}"},
            json={
                "model": embedded_config.MODEL,
                "messages": [{"role": "user", "content": "hello"}],
            },
        )
        assert response.status == 200
        tester = command_tester.CommandTester(status_command.StatusCommand())
        platform_option = f"--platform {deployed.platform.address}"
        assert tester.execute(f"{platform_option} --histograms") == 0
        assert "first_token_us" in tester.io.fetch_output()
        assert tester.execute(f"{platform_option} --histograms --json") == 0
        histograms = json.loads(tester.io.fetch_output())["histograms"]
        account = histograms[address][embedded_config.CLIENT_ACCOUNT]
        assert account["desk"]["tokens"]["count"] == 1
