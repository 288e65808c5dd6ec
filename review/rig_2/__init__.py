"""Stand-ins and the deployment that the cases of the second review share."""
