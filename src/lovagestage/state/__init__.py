"""Control state folded from the log and from documents; pure functions."""
