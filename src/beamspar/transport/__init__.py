"""HTTP over TCP: calls, the served side, and the reactor."""
