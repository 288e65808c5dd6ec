"""Access to the state service: its client, keys and stored records."""
