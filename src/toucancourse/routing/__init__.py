"""Choice of version and endpoint."""
