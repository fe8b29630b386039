"""Runs a gateway; also reached as `lovagestage gateway`."""

from __future__ import annotations

import sys

from lovagestage.gateway.command import main

sys.exit(main())
