"""Runs a gateway as `python -m`; `lovagestage gateway` does the same."""

from __future__ import annotations

import sys

from lovagestage.gateway.command import main

sys.exit(main())
