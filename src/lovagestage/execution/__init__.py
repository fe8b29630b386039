"""A request, its attempts, and the run at a sidecar."""
