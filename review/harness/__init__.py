"""Stand-ins and tools of the review's cases: small, on loopback and on the real clock."""
