"""A job in memory and its rules: tasks, gangs, pauses after failures, use of the quota. No I/O."""
