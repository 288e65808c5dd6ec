"""The state service: its client, its keys and the records that are stored there."""
