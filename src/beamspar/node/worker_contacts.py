"""Workers that contacted this controller although it does not hold their machines."""

from __future__ import annotations

from beamspar.leader.leader import Leader
from beamspar.state.control_records import Machine
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# Maximum number of unassigned machines that one heartbeat reports to the leader.
MAX_UNASSIGNED = 500


class WorkerContacts:
    """Collects the machines of such workers, which the next heartbeat reports to the leader."""

    def __init__(self, clock: Clock, timeouts: Timeouts) -> None:
        self.clock = clock
        self.timeouts = timeouts
        # Machines in no shard, by name.
        self.unassigned: dict[str, Machine] = {}
        # By machine, the time of the last contact of a worker that its holder may not serve.
        self.unserved: dict[str, float] = {}

    def observe_unassigned(self, machine: Machine, leader: Leader | None) -> None:
        """Record a machine that is in no shard, so that the leader leases it."""
        if leader is not None and leader.is_leading:
            leader.shard_leasing.observe_unassigned(machine)
        elif len(self.unassigned) < MAX_UNASSIGNED:
            self.unassigned[machine.name] = machine

    def observe_unserved(self, machine: str) -> None:
        """Record a machine whose worker may be unable to reach its holder."""
        self.unserved[machine] = self.clock.seconds()

    def unserved_machines(self) -> list[str]:
        """Return the names of recently unserved machines, whose workers retry every few seconds."""
        now = self.clock.seconds()
        for name, last_contact in list(self.unserved.items()):
            if now - last_contact > self.timeouts.unserved_machine_window_s:
                del self.unserved[name]
        return sorted(self.unserved)
