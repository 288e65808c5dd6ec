"""HTTP over TCP: the client, the server, the reactor, and timers."""
