"""Jobs in memory and their rules: tasks, gangs, failure backoff and quota usage. No I/O."""
