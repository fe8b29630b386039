"""Soak runs in which callers keep or move their connections."""

from __future__ import annotations

from lab.soak import troubles
from lab.soak.command import run_seed


def test_stops_in_series_cut_no_request(tmp_path):
    # Guards against requests on kept connections that a stopping gateway
    # accepts and cuts off at its end.
    faults = (troubles.stop_gateways_in_series,)
    breaches, summary = run_seed(1, 8.0, tmp_path, faults=faults)
    assert not breaches, (summary, breaches)


def test_limits_are_used_where_the_connections_go(tmp_path):
    # Guards against equal shares of the workers' limits, with which a gateway
    # that gets most requests refuses them while the other shares lie idle.
    faults = (troubles.skew_connections_under_limits,)
    breaches, summary = run_seed(1, 1.0, tmp_path, gateways=6, faults=faults)
    assert not breaches, (summary, breaches)


def test_gateway_that_gets_most_connections_serves_them(tmp_path):
    # Guards against gateways that serve less than before once most new
    # connections go to them, while others stop.
    faults = (troubles.skew_connections, troubles.end_gateway)
    breaches, summary = run_seed(3, 5.0, tmp_path, faults=faults)
    assert not breaches, summary
