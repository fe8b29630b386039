"""The callers' HTTP API, and the entry process that serves it."""
