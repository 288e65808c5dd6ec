"""Tracks which images each machine caches, derived from the tasks that run there.

Workers' heartbeats don't list cached images, so an image counts as cached on a machine once a task
that uses it has fetched it there.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from beamspar.machines.managed_machine import ManagedMachine
from beamspar.protocol.cloud import MachineType


class ImageCaches:
    """Maintains each machine's list of cached images within the cache size of its type."""

    def __init__(self, types: Callable[[], Mapping[str, MachineType]]) -> None:
        self.types = types

    def add_known(self, machine: ManagedMachine, known: Mapping[str, float]) -> None:
        """Add cached images that another controller recorded and this one has not."""
        if known.keys() - machine.images.keys():
            machine.images = {**known, **machine.images}
            self._evict(machine)
            machine.mark_changed()

    def record_use(self, machine: ManagedMachine, image: str, size_gb: float) -> None:
        """Mark an image as the most recently used one, and evict those that no longer fit."""
        machine.images.pop(image, None)
        machine.images[image] = size_gb
        self._evict(machine)

    def _evict(self, machine: ManagedMachine) -> None:
        types = self.types()
        if machine.info.kind in types:
            types[machine.info.kind].evict_least_recently_used(machine.images)
