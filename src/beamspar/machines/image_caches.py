"""Which images each machine caches, derived from what runs there.

Heartbeats of workers don't list what is cached, so an image counts as cached where a task that
uses it has fetched it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from beamspar.machines.managed_machine import ManagedMachine
from beamspar.placement import evict_least_recently_used
from beamspar.protocol.cloud import MachineType


class ImageCaches:
    """Keeps each machine's list of cached images within the cache of its type."""

    def __init__(self, types: Callable[[], Mapping[str, MachineType]]) -> None:
        self.types = types

    def add_known(self, machine: ManagedMachine, known: Mapping[str, float]) -> None:
        """What others knew of the machine's cache, as far as we don't."""
        if known.keys() - machine.images.keys():
            machine.images = {**known, **machine.images}
            self._evict(machine)
            machine.mark_changed()

    def record_use(self, machine: ManagedMachine, image: str, size_gb: float) -> None:
        """The machine keeps the most recently used images within its cache."""
        machine.images.pop(image, None)
        machine.images[image] = size_gb
        self._evict(machine)

    def _evict(self, machine: ManagedMachine) -> None:
        types = self.types()
        if machine.info.kind in types:
            evict_least_recently_used(machine.images, types[machine.info.kind])
