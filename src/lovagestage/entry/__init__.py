"""What an entry does for a request besides HTTP."""
