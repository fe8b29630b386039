"""Commands of the command line with which operators run the platform."""
