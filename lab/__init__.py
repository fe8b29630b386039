"""Test bench: small stand-ins for the services that lovagestage depends on."""
