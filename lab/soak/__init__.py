"""Random faults from outside on real gateways, with their promises checked.

Gateways are processes of their own; store and workers are stand-ins, reached
through loopback proxies. A seed fixes the series of faults, not the timing of
the machine.
"""
