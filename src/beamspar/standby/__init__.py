"""A warm standby: followers of the leader's decisions, ready to take the lead when it fails."""
