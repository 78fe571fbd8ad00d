"""Outside services behind abstract base classes."""
