"""Team quotas: allocations by partition, their usage, and preemption at the quota."""
