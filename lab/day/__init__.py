"""Plays a day of planned work against real gateway processes, in real time.

The days are those of the users' bench, as far as their kinds are built here.
What the simulated machines of the bench do not have is played as it is: the
kernel's TCP, the interpreter's start, other processes beside the gateways.
"""
