"""Machines shared among controllers: shards move by load, on request, and as one leaves."""
