"""Sharing of machines among controllers: shards move by load, on request, or on a leave."""
