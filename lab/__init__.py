"""Stand-ins: small processes that play the platform around lovagestage."""
