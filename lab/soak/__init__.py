"""Soak tests that inject random faults around real gateways.

The gateways run as separate processes, and the tests check that they keep
their guarantees. The metadata store and the workers are test doubles that the
gateways reach through loopback proxies. A seed determines the sequence of
faults, but not the timing of the machine.
"""
