"""Settings of a daemon, read from INI."""
