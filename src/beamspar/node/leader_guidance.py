"""What the leader's last response to a heartbeat asks of this controller."""

from __future__ import annotations

from collections.abc import Container

from beamspar.machines.machine_controller import MachineController
from beamspar.protocol.peer_messages import HeartbeatResponse
from beamspar.protocol.room import Room


class LeaderGuidance:
    """Owns what the leader said last of reserved machines, accelerator work and image caches.

    It outlives an incarnation of this controller.
    """

    def __init__(self) -> None:
        # CPUs and memory that work with accelerators takes for each of them.
        self.per_accelerator = (0.0, 0.0)
        # Machines that are offered by the leader alone.
        self.reserved: frozenset[str] = frozenset()
        # Per machine, the cached images and when each was used. Actors share this dictionary.
        self.caches: dict[str, dict[str, float]] = {}
        # Up to where the leader's changes of caches are known.
        self.caches_known = 0

    def observe(self, response: HeartbeatResponse, assigned: Container[str]) -> None:
        """Take the response in; caches are kept of machines that are in a shard."""
        self.per_accelerator = response.per_gpu
        self.reserved = frozenset(response.reserved)
        self.caches_known = response.caches_known
        self.caches.update(response.caches)
        if response.caches:
            for name in [name for name in self.caches if name not in assigned]:
                del self.caches[name]

    def unreserved_rooms(self, machine_controller: MachineController) -> list[Room]:
        """Our machines' room that the job controller here may use without asking the leader."""
        return [room for room in machine_controller.rooms() if room.name not in self.reserved]
