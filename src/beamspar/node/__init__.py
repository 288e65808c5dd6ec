"""One controller: wires the actors together, serves users, workers and peers."""
