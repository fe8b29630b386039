"""Log output, log parsing and metrics of the processes."""
