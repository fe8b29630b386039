"""What processes send each other."""
