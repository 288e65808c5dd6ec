"""Tests of beamspar."""
