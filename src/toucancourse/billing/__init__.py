"""Claims of idempotency keys, bills and spend allowances."""
