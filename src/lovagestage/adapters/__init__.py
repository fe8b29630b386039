"""Adapters to services outside the system, behind protocols."""
