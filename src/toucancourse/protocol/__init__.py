"""The protocol between entries and sidecars."""
