"""Management of the machines of this controller's shards: heartbeats, commands, quarantine."""
