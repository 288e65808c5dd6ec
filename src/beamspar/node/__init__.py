"""One controller process: connects its actors and serves users, workers and peers."""
