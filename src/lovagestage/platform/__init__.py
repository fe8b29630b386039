"""How the users' platform speaks: names, formats and calls.

Nothing here decides, retries or waits, and no other package knows the names
that stand here. Each is decoded once into the product's own types.
"""
