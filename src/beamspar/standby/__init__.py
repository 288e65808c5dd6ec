"""The warm standby: followers replicate the leader's decisions and replace it when it fails."""
