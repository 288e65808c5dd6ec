"""The machine types that the cloud offers, and the stored copy of them."""

from __future__ import annotations

import msgspec
from twisted.logger import Logger

from beamspar.leader.cloud_client import CloudClient, CloudUnavailableError, NoCapacityError
from beamspar.node.incarnation import CurrentIncarnation
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.codec import convert
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import ConflictError, LeaseExpiredError, StateUnavailableError
from beamspar.state.messages import put
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep

log = Logger(namespace="node")


class MachineTypes:
    """Holds the machine types by name. They are fetched once in the lifetime of a process."""

    def __init__(
        self,
        clock: Clock,
        cloud: CloudClient,
        state: StateClient,
        current: CurrentIncarnation,
        timeouts: Timeouts,
    ) -> None:
        self.clock = clock
        self.cloud = cloud
        self.state = state
        self.current = current
        self.timeouts = timeouts
        # Empty until the types are available. Actors share this dictionary object.
        self.by_name: dict[str, MachineType] = {}

    async def fetch(self) -> None:
        """Fetch the machine types from the cloud, retrying until it responds, and store a copy.

        While the cloud is down the stored copy is used.
        """
        while True:
            try:
                types = await self.cloud.types()
                self.by_name.update({kind.name: kind for kind in types})
                await self._store()
                return
            except (CloudUnavailableError, NoCapacityError) as error:
                log.info("fetching machine types failed, will retry: {error}", error=error)
            await sleep(self.clock, self.timeouts.worker_heartbeat_interval_s)

    async def _store(self) -> None:
        while self.current.registration is None or not self.current.registration.is_started:
            await sleep(self.clock, self.timeouts.worker_heartbeat_interval_s)
        if keys.MACHINE_TYPES_KEY in self.current.registration.mirror.values:
            return
        value = [msgspec.to_builtins(kind) for kind in self.by_name.values()]
        try:
            await self.state.transact(
                {keys.MACHINE_TYPES_KEY: 0}, [put(keys.MACHINE_TYPES_KEY, value)]
            )
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.info(
                "storing a copy of the machine types failed, will not retry: {error}", error=error
            )

    def observe(self, key: str) -> None:
        """Use the stored copy when it appears in the mirror.

        Once the cloud has responded, the stored copy is ignored.
        """
        registration = self.current.registration
        if key == keys.MACHINE_TYPES_KEY and registration and not self.by_name:
            value = registration.mirror.values.get(keys.MACHINE_TYPES_KEY, ([], 0))[0]
            types: list[MachineType] = convert(value, list[MachineType])
            self.by_name.update({kind.name: kind for kind in types})
