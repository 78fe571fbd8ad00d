"""Emulators of the systems around the router, for tests, bench and demo."""
