"""Tests of the explanation of a request from the routers' logs."""

from __future__ import annotations

import pathlib

from jasminetally._observe import request_explanation

# Log of two routers, out of order and in part with a collector's prefix.
LOG = """
   1.5 edge-1 {"t":10.0,"event":"store_lost","node":"edge-1","reason":"timeout"}
   1.6 edge-2 {"t":10.1,"event":"store_lost","node":"edge-2","reason":"timeout"}
not a line {"t": broken
{"t":11.2,"event":"request_ended","node":"edge-1","request":"id-1","outcome":\
"outcome_unknown","attempts":1}
{"t":11.0,"event":"request_sent","node":"edge-1","request":"id-1","server":"s"}
{"t":11.1,"event":"attempt_failed","node":"edge-1","request":"id-1","server":\
"s","result":"broken","reason":"reset"}
{"t":11.1,"event":"request_sent","node":"edge-1","request":"id-2","server":"s"}
"""


def test_explanation_has_lines_of_the_request_and_its_router_only():
    """Guards against lines of another request or router as the cause."""
    explanation = request_explanation.explain_request(
        "id-1", request_explanation.parse_log(LOG)
    )
    assert [row.split()[3] for row in explanation[:-1]] == [
        "store_lost",
        "request_sent",
        "attempt_failed",
        "request_ended",
    ]
    assert "may have run" not in explanation[0]
    assert "outcome_unknown" in explanation[-1]
    assert "s: reset" in explanation[-1]


def test_request_without_log_lines_has_no_explanation():
    """Guards against an invented cause when no line names the request."""
    assert (
        request_explanation.explain_request(
            "id-9", request_explanation.parse_log(LOG)
        )
        is None
    )


def test_refusal_codes_have_a_meaning():
    """Guards against an explanation that only repeats the code."""
    package = pathlib.Path(request_explanation.__file__).parents[1] / "_forward"
    files = ("forwarder.py", "caller_errors.py")
    text = "".join((package / name).read_text() for name in files)
    for code in (
        "budget_exhausted",
        "budget_unavailable",
        "out_of_time",
        "outcome_unknown",
        "servers_full",
        "servers_unreachable",
        "no_server",
        "no_time_left",
        "no_configuration",
        "stopping",
    ):
        assert f'"{code}"' in text
        assert code in request_explanation.OUTCOME_MEANINGS
