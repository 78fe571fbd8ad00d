"""HTTP server code shared by the caller, admin and health interfaces."""
