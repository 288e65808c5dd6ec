"""The edge of the service: names and checks of all that is sent and received."""
