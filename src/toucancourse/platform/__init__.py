"""The platform's services behind abstract base classes."""
