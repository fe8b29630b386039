"""HTTP for callers, and the process that serves it."""
