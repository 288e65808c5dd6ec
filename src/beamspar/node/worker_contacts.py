"""Workers that came to this controller although it does not hold their machines."""

from __future__ import annotations

from beamspar.leader.leader import Leader
from beamspar.state.control_records import Machine
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# Unassigned machines that one heartbeat tells the leader of.
MAX_UNASSIGNED = 500


class WorkerContacts:
    """Owns what the next heartbeat tells the leader of such workers."""

    def __init__(self, clock: Clock, timeouts: Timeouts) -> None:
        self.clock = clock
        self.timeouts = timeouts
        # Machines in no shard, by name.
        self.unassigned: dict[str, Machine] = {}
        # When workers came here last whose machines' holder does not answer them.
        self.unserved: dict[str, float] = {}

    def observe_unassigned(self, machine: Machine, leader: Leader | None) -> None:
        """A worker whose machine is in no shard: the leader should lease it."""
        if leader is not None and leader.leading:
            leader.shard_leasing.observe_unassigned(machine)
        elif len(self.unassigned) < MAX_UNASSIGNED:
            self.unassigned[machine.name] = machine

    def observe_unserved(self, machine: str) -> None:
        """A worker whose machine's holder can't be reached, or does not answer it."""
        self.unserved[machine] = self.clock.seconds()

    def unserved_machines(self) -> list[str]:
        """The names of those that came of late: they do so every few seconds."""
        now = self.clock.seconds()
        for name, at in list(self.unserved.items()):
            if now - at > self.timeouts.unserved_machine:
                del self.unserved[name]
        return sorted(self.unserved)
