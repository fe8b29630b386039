"""A request, its attempts, and the run that executes it at a sidecar."""
