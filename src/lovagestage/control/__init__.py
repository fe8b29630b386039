"""Control plane: follows the log, appends records, holds leases."""
