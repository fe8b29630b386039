"""Connections between processes."""
