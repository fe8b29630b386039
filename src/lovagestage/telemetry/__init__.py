"""Logs and metrics of entries and sidecars."""
