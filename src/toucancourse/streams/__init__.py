"""Small streams of the log: group appends, followers and snapshots."""
