"""Our own state service, cloud, workers and users, made from PROTOCOL, on simulated time."""
