"""The gateway, which is the entry's HTTP front end on the users' platform.

Callers send plain HTTP requests to a gateway, and the gateway forwards them
directly to upstreams. State that must survive a gateway process is stored in
the platform's metadata store.
"""
