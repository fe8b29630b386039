"""Operators' commands."""
