"""The jobs of this controller's partitions: accepting, placing, storing, following."""
