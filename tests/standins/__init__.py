"""Stand-ins for the state service, cloud, workers and users, on simulated time."""
