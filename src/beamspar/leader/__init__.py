"""Duties of the leader: assigning shards, offering capacity, and managing cloud instances."""
