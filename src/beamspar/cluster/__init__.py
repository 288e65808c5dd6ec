"""This controller's registration and its mirror of the cluster's control records."""
