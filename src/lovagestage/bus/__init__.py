"""Connections between the system's processes."""
