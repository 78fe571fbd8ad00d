"""Access to streams of the log: group commit, followers and snapshots."""
