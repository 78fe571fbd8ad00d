"""Staged roll-outs and their supervision."""
