"""Messages that the processes send to each other."""
