"""Cases of the independent review of issue 49."""
