"""Claims, bills and allowances."""
