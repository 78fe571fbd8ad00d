"""The administration API of an entry."""
