"""The leader's view of one member, accumulated from its heartbeats."""

from __future__ import annotations

from typing import NamedTuple

from beamspar.protocol.peer_messages import JobClass, MachineStatus, MemberHeartbeat

NEVER = -1e9


class ReceivedStatus(NamedTuple):
    """A machine's status and the local time at which it was received."""

    status: MachineStatus
    received_at: float


class MemberView:
    """Accumulates the heartbeats of one incarnation of a member."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        # The member's change count up to which its changes have been applied.
        self.applied_count = 0
        self.reported_at = NEVER
        # Whether every machine of the member was reported at least once.
        self.is_complete = False
        self.machines: dict[str, ReceivedStatus] = {}
        self.classes: dict[str, JobClass] = {}
        # Machines whose workers turned to this member because their holder does not answer them.
        self.unserved_machines: list[str] = []
        # Number of bound or pending tasks of its jobs, and how late its timers fire, in seconds.
        self.demand = 0
        self.late_s = 0.0

    def apply_heartbeat(self, heartbeat: MemberHeartbeat, now: float) -> bool:
        """Apply a heartbeat; return False if it builds on one that was not received."""
        if self.applied_count != heartbeat.since:
            return False
        self.applied_count, self.classes = heartbeat.count, heartbeat.classes
        self.is_complete = self.is_complete or not heartbeat.is_partial
        if self.is_complete:
            # A member with incomplete state counts as not reporting. Otherwise instances would be
            # created to replace capacity that it has not reported yet.
            self.reported_at = now
        self.unserved_machines = heartbeat.unserved_machines
        self.demand, self.late_s = heartbeat.demand, heartbeat.late_s
        self.machines.update(
            {status.capacity.name: ReceivedStatus(status, now) for status in heartbeat.machines}
        )
        return True
