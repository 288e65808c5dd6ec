"""What the leader knows of one member, by its heartbeats."""

from __future__ import annotations

from beamspar.protocol.peer_messages import JobClass, MachineStatus, MemberHeartbeat


class MemberView:
    """What the heartbeats of one incarnation of a member add up to."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        # The count of changes up to which it has told.
        self.count = 0
        self.heard_at = -1e9
        # Every machine of the member was told once.
        self.complete = False
        # Each machine's view and when it came.
        self.machines: dict[str, tuple[MachineStatus, float]] = {}
        self.classes: dict[str, JobClass] = {}
        # Machines whose workers came to this member, for their holder does not answer them.
        self.unserved: list[str] = []
        # Tasks of its jobs that are bound or waiting, and how late its timers fire.
        self.demand = 0
        self.late_s = 0.0

    def take(self, heartbeat: MemberHeartbeat, now: float) -> bool:
        """Take in a heartbeat; False if it builds on one that did not come."""
        if self.count != heartbeat.since:
            return False
        self.count, self.classes = heartbeat.count, heartbeat.classes
        self.complete = self.complete or not heartbeat.partial
        if self.complete:
            # Before that it counts as not heard: room that was not told would be rented.
            self.heard_at = now
        self.unserved = heartbeat.unserved_machines
        self.demand, self.late_s = heartbeat.demand, heartbeat.late_s
        self.machines.update({view.room.name: (view, now) for view in heartbeat.machines})
        return True
