"""Machines shared among controllers: blocks move by load, on request, and as one leaves."""
