"""The jobs of this controller's partitions: accepted, placed, stored and monitored."""
