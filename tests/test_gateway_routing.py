"""Choice of routes by host and longest prefix, and of backends by weight."""

from __future__ import annotations

import collections

from hypothesis import given
from hypothesis import strategies as st

from lovagestage.gateway.configuration import (
    Backend,
    ClientLimits,
    Configuration,
    Route,
    RouteKind,
    choose_backend,
)

segments = st.lists(st.sampled_from(["a", "b", "ab"]), max_size=4)
prefixes = segments.map(lambda parts: "/" + "".join(f"{p}/" for p in parts))
hosts = st.sampled_from(["one.example", "two.example"])


POOL = (Backend("pool", 1.0),)


def make_route(host, prefix, backends=POOL):
    return Route(
        name=f"{host}{prefix}",
        host=host,
        prefix=prefix,
        kind=RouteKind.SAFE,
        timeout_s=1.0,
        target_latency_s=0.3,
        max_event_interval_s=1.0,
        max_attempts=2,
        priority=0,
        is_public=True,
        is_resumable=False,
        models=(),
        backends=backends,
    )


def find_route_by_scan(routes, host, path):
    matching = [
        route
        for route in routes
        if route.host == host and path.startswith(route.prefix)
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)


@given(
    st.lists(st.tuples(hosts, prefixes), unique=True, max_size=8),
    hosts,
    segments,
    st.sampled_from(["", "/", "/x", "x"]),
)
def test_finds_what_a_naive_search_finds(pairs, host, parts, end):
    routes = [make_route(*pair) for pair in pairs]
    path = "/" + "/".join(parts) + end
    configuration = Configuration(1, routes, ClientLimits(), None)
    found = configuration.get_route(host.upper(), path)
    assert found == find_route_by_scan(routes, host, path)


def test_backends_get_their_share_and_a_session_keeps_its_own():
    backends = (Backend("old", 90.0), Backend("new", 10.0))
    route = make_route("one.example", "/", backends)
    chosen = [choose_backend(route, str(seed)) for seed in range(4000)]
    again = [choose_backend(route, str(seed)) for seed in range(4000)]
    counts = collections.Counter(chosen)
    assert chosen == again
    assert 300 < counts["new"] < 500


def test_a_backend_without_weight_gets_nothing():
    backends = (Backend("old", 0.0), Backend("new", 5.0))
    route = make_route("one.example", "/", backends)
    assert {choose_backend(route, str(s)) for s in range(200)} == {"new"}
    empty = make_route("one.example", "/", (Backend("old", 0.0),))
    assert choose_backend(empty, "s") is None
