"""Translates the names, formats and calls of the outer platform.

This package contains no decisions, retries or waits. No other package knows
the platform's names: each one is decoded here, once, into the types of this
project.
"""
