"""The machines of this controller's shards: heartbeats, commands, quarantine."""
