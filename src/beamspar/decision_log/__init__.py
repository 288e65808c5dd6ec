"""The replicated log of leader decisions that are not in the state service."""
