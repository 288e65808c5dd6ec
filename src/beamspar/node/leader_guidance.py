"""Data from the leader's heartbeat responses that this controller applies."""

from __future__ import annotations

from collections.abc import Container

from beamspar.machines.machine_controller import MachineController
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.protocol.peer_messages import HeartbeatResponse


class LeaderGuidance:
    """Holds the latest data of the leader on reserved machines, accelerators and image caches.

    The data is kept when a new incarnation of this controller begins.
    """

    def __init__(self) -> None:
        # The most CPUs and memory (GB) that jobs with accelerators need per accelerator.
        self.per_accelerator = (0.0, 0.0)
        # Machines that only the leader may offer.
        self.reserved: frozenset[str] = frozenset()
        # Per machine, its cached images with their sizes in GB, the least recently used first.
        # The actors of this controller share this dictionary, so it is changed in place.
        self.caches: dict[str, dict[str, float]] = {}
        # The version of the leader's cache map up to which changes have been received.
        self.caches_known = 0

    def observe(self, response: HeartbeatResponse, assigned: Container[str]) -> None:
        """Apply a response; cache entries are kept only for the `assigned` machines."""
        self.per_accelerator = response.per_gpu
        self.reserved = frozenset(response.reserved)
        self.caches_known = response.caches_known
        self.caches.update(response.caches)
        if response.caches:
            for name in [name for name in self.caches if name not in assigned]:
                del self.caches[name]

    def unreserved_capacities(self, machine_controller: MachineController) -> list[MachineCapacity]:
        """Return the free capacity that the job controller here may use without the leader."""
        return [
            capacity
            for capacity in machine_controller.free_capacities()
            if capacity.name not in self.reserved
        ]
