"""What only the leader does: shards, capacity offers, instances of the cloud."""
