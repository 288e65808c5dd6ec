"""The messages that the service sends and receives: their field names and validation."""
