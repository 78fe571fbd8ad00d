"""Settings of a daemon, read from an INI file."""
