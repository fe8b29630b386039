"""The entry's front end on the users' platform.

Callers speak plain HTTP to it, upstreams are reached directly, and what must
outlast a process lies in the platform's metadata store.
"""
