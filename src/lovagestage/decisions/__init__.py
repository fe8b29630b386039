"""What is decided, without a clock or a socket."""
