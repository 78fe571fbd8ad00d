"""HTTP plumbing shared by the caller, admin and health interfaces."""
