"""Runs a gateway as `python -m`; `lovagestage gateway` does the same."""

from __future__ import annotations

import signal
import sys

# Until the process handles the signal it would end by it, with callers' first
# connections waiting on its port. The imports below take most of that time.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from lovagestage.gateway.command import main  # noqa: E402

sys.exit(main())
