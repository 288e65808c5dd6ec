"""The actors of one incarnation of this controller, and which incarnation is the current one."""

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
    """All that acts under one registration. They are replaced together when it is lost."""

    registration: Registration
    machine_controller: MachineController
    job_controller: JobController
    leader: Leader
    quota_manager: QuotaManager
    # Optional parts: None where the operator's settings turn them off.
    standby: Standby | None = None
    sharing: Sharing | None = None

    def is_registered(self) -> bool:
        """Has the registration been made, and not been lost?"""
        return self.registration.started and not self.registration.lost


class CurrentIncarnation:
    """Owns which actors are the current ones.

    Whatever outlives an incarnation holds this object and looks the actors up at each use; what it
    looked up may be replaced while it waits for an answer.
    """

    def __init__(self) -> None:
        # None before the first registration, and after this controller left the service.
        self.actors: Actors | None = None
        # The jobs of our partitions are in memory.
        self.is_loaded = False
        # An operator let this controller leave the service: it does not register again.
        self.has_left = False

    def registered(self) -> Actors | None:
        """The actors, if they are registered and have not lost their registration."""
        actors = self.actors
        return actors if actors is not None and actors.is_registered() else None

    def may_act(self) -> bool:
        """Is this controller registered, loaded, and within its lease?"""
        registration = self.registration
        return self.is_loaded and registration is not None and registration.lease_is_valid()

    @property
    def registration(self) -> Registration | None:
        """The current registration, which may not be complete or be lost already."""
        return self.actors.registration if self.actors is not None else None

    @property
    def machine_controller(self) -> MachineController | None:
        """The controller of the machines in our shards."""
        return self.actors.machine_controller if self.actors is not None else None

    @property
    def job_controller(self) -> JobController | None:
        """The controller of the jobs in our partitions."""
        return self.actors.job_controller if self.actors is not None else None
