"""Runs the command line for `python -m lovagestage`."""

from __future__ import annotations

import sys

from lovagestage.cli import main

if __name__ == "__main__":
    sys.exit(main())
