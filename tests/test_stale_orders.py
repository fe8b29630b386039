"""Test of orders from an earlier lease holder to engines that accept any."""

from __future__ import annotations

import time

from lab.fleet import Fleet
from tests.test_rollout_fleet import SHAPE, TIMEOUT_S, get_holder, publish


def get_orders(fleet):
    return [
        order
        for engine in fleet.engines
        for order in fleet.get_stats(engine.name)["orders"]
    ]


def wait_until(condition):
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end_s
        time.sleep(0.1)


def get_lease(fleet, name):
    return fleet.get_dump(name)["control"]["leases"]["rollout"]


def test_order_of_an_earlier_holder_reaches_no_engine():
    # The sidecars are paused when the holder of the roll-out lease sends its
    # orders, and then the holder is paused too. Another entry takes the lease.
    # The sidecars resume and find the earlier orders in their sockets before
    # they have read the new grant, and the engines would accept any order. The
    # earlier holder resumes last. Only the new holder's orders may reach the
    # engines.
    fleet = Fleet(SHAPE, ("--load-ms", "400", "--fencing", "ignore"))
    fleet.entry_options["lease_ttl_s"] = 2.0
    with fleet:
        wait_until(lambda: "rollout" in get_dumped_leases(fleet))
        holder = get_holder(fleet)
        (other,) = {"entry-0", "entry-1"} - {holder}
        earlier = get_lease(fleet, other)["fencing"]
        for sidecar in ("sidecar-0", "sidecar-1"):
            fleet.suspend(sidecar)
        publish(fleet, 1)
        time.sleep(1.2)
        fleet.suspend(holder)
        wait_until(lambda: get_lease(fleet, other)["fencing"] > earlier)
        for name in ("sidecar-0", "sidecar-1"):
            fleet.resume(name)
        time.sleep(0.5)
        fleet.resume(holder)
        wait_until(lambda: len(get_orders(fleet)) >= len(fleet.engines))
        time.sleep(0.5)
        found = {order["fencing"] for order in get_orders(fleet)}
    assert found
    assert min(found) > earlier


def get_dumped_leases(fleet):
    return fleet.get_dump("entry-0")["control"]["leases"]
