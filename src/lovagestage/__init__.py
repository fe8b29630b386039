"""Model-aware router for versions and cascades."""

from __future__ import annotations

from lovagestage.exceptions import LovagestageError as LovagestageError

__version__ = "0.1.0"
__all__ = ["LovagestageError", "__version__"]
