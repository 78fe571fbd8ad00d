"""Instance discovery, configuration replication and freshness proofs."""
