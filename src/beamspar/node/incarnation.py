"""The actors of one incarnation of this controller, and the reference to the current one."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from beamspar.cluster.registration import Registration
from beamspar.jobs.job_controller import JobController
from beamspar.leader.leader import Leader
from beamspar.machines.machine_controller import MachineController
from beamspar.quota.quota_manager import QuotaManager

if TYPE_CHECKING:
    from beamspar.sharing.service import Sharing
    from beamspar.standby.standby import Standby


class Actors(msgspec.Struct, eq=False):
    """The actors that share one registration and are replaced together when it is lost."""

    registration: Registration
    machine_controller: MachineController
    job_controller: JobController
    leader: Leader
    quota_manager: QuotaManager
    # Optional actors: None if the operator's settings turn them off.
    standby: Standby | None = None
    sharing: Sharing | None = None

    def is_registered(self) -> bool:
        """Whether the registration is complete and has not been lost."""
        return self.registration.is_started and not self.registration.is_ended


class CurrentIncarnation:
    """Holds the reference to the current actors.

    Objects that outlive an incarnation hold this object and look up the actors at each use. Actors
    that were looked up before an `await` may have been replaced after it.
    """

    def __init__(self) -> None:
        # None before the first registration, and after this controller has left the service.
        self.actors: Actors | None = None
        # Whether the jobs of this controller's partitions are in memory.
        self.is_loaded = False
        # Whether this controller has left the service at an operator's request; it then does
        # not register again.
        self.has_left = False

    def registered_actors(self) -> Actors | None:
        """Return the actors, or None if they are not registered yet or no longer registered."""
        actors = self.actors
        return actors if actors is not None and actors.is_registered() else None

    def may_act(self) -> bool:
        """Whether this controller is registered, has loaded its jobs and holds a valid lease."""
        registration = self.registration
        return self.is_loaded and registration is not None and registration.is_lease_valid()

    @property
    def registration(self) -> Registration | None:
        """The current registration, which may be incomplete or already lost."""
        return self.actors.registration if self.actors is not None else None

    @property
    def machine_controller(self) -> MachineController | None:
        """The actor that controls the machines in this controller's shards."""
        return self.actors.machine_controller if self.actors is not None else None

    @property
    def job_controller(self) -> JobController | None:
        """The actor that controls the jobs in this controller's partitions."""
        return self.actors.job_controller if self.actors is not None else None
