"""State folded from the log and from documents; pure."""
