"""Team quotas: allocations by partition, their use, and preemption at the quota."""
