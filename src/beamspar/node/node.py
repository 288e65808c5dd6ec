"""One controller process: builds and starts its actors, and replaces them after a lost lease."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.jobs.job_controller import JobController
from beamspar.leader.cloud_client import CloudClient
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.leader import Leader
from beamspar.leader.leader_lease import LeaderLease
from beamspar.machines.machine_controller import MachineController
from beamspar.machines.worker_client import WorkerClient
from beamspar.node.cancellations import CancellationNotices
from beamspar.node.capacity_client import CapacityClient
from beamspar.node.departure import Departure
from beamspar.node.desired_state_delivery import DesiredStateDelivery
from beamspar.node.forwarding import RequestForwarder
from beamspar.node.health import Health
from beamspar.node.heartbeats import Heartbeats
from beamspar.node.incarnation import Actors, CurrentIncarnation
from beamspar.node.leader_guidance import LeaderGuidance
from beamspar.node.machine_types import MachineTypes
from beamspar.node.member_summary import summarize
from beamspar.node.peer_client import PeerClient
from beamspar.node.peer_dispatch import PeerDispatch
from beamspar.node.public_api import PublicApi
from beamspar.node.status_delivery import StatusDelivery
from beamspar.node.worker_contacts import WorkerContacts
from beamspar.placement import Preference, slow_kinds
from beamspar.protocol.codec import BODY_LIMIT
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.protocol.peer_messages import MAX_PEER_MESSAGE_BYTES
from beamspar.quota.quota_manager import QuotaManager
from beamspar.settings import OperatorSettings, Settings
from beamspar.state import job_records as records
from beamspar.state.client import StateClient
from beamspar.state.errors import StateUnavailableError
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background
from beamspar.transport.connection_limits import SocketLimits
from beamspar.transport.http import Net

if TYPE_CHECKING:
    from beamspar.sharing.service import Sharing
    from beamspar.standby.standby import Standby

log = Logger(namespace="node")


class Node:
    """A controller process, whose actors are rebuilt whenever its registration is lost."""

    def __init__(
        self,
        clock: Clock,
        net: Net,
        settings: Settings,
        operator_settings: OperatorSettings,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.net = net
        self.settings = settings
        self.operator_settings = operator_settings
        self.rng = rng
        self.timeouts = Timeouts(settings, operator_settings)
        self.state = StateClient(clock, net, settings, self.timeouts)
        self.cloud = CloudClient(net, settings.services.cloud, self.timeouts.request_timeout_s)
        self.current = CurrentIncarnation()
        self.machine_types = MachineTypes(
            clock, self.cloud, self.state, self.current, self.timeouts
        )
        addresses = {peer.member: peer.peer_addr for peer in settings.peers}
        self.peers = PeerClient(clock, net, addresses, self.timeouts)
        self._build_messaging()
        self._build_request_handlers()

    def _build_messaging(self) -> None:
        """Build the objects that deliver the actors' messages, to peers or within this process."""
        clock, current, peers, timeouts = self.clock, self.current, self.peers, self.timeouts
        own_name = self.settings.member
        self.guidance = LeaderGuidance()
        self.contacts = WorkerContacts(clock, timeouts)
        self.heartbeats = Heartbeats(clock, current, peers, self.guidance, self.contacts, timeouts)
        self.cancellations = CancellationNotices(current, peers, peers.addresses)
        self.status_delivery = StatusDelivery(clock, own_name, current, peers)
        self.desired_state_delivery = DesiredStateDelivery(own_name, current, peers, timeouts)
        self.capacity_client = CapacityClient(own_name, current, peers, timeouts)

    def _build_request_handlers(self) -> None:
        """Build the objects that serve users, workers, peers and operators."""
        self.health = Health(
            self.clock, self.state, self.current, self.machine_types, self.peers, self.timeouts
        )
        self.forwarder = RequestForwarder(self.clock, self.peers, self.timeouts)
        self.departure = Departure(
            self.settings.member, self.state, self.current, self._start_registration
        )
        self.api = PublicApi(
            self.clock,
            self.settings,
            self.timeouts,
            self.state,
            self.current,
            self.machine_types.by_name,
            self.health,
            self.forwarder,
            self.cancellations,
            self.peers,
            self.contacts,
        )
        self.dispatch = PeerDispatch(
            self.current, self.health, self.departure, self.api.answer_forwarded
        )

    # -- the current actors

    @property
    def registration(self) -> Registration | None:
        """The current registration, which may be incomplete or already lost."""
        return self.current.registration

    @property
    def machine_controller(self) -> MachineController | None:
        """The actor that controls the machines in this controller's shards."""
        return self.current.machine_controller

    @property
    def job_controller(self) -> JobController | None:
        """The actor that controls the jobs in this controller's partitions."""
        return self.current.job_controller

    @property
    def leader(self) -> Leader | None:
        """The leader actor, which makes decisions only while it holds the leader lease."""
        return self.current.actors.leader if self.current.actors is not None else None

    @property
    def quota_manager(self) -> QuotaManager | None:
        """The actor that manages the teams' quotas in this controller's partitions."""
        return self.current.actors.quota_manager if self.current.actors is not None else None

    @property
    def standby(self) -> Standby | None:
        """The standby, which replicates the leader's decisions; None if it is turned off."""
        return self.current.actors.standby if self.current.actors is not None else None

    @property
    def sharing(self) -> Sharing | None:
        """The actor that moves machines between controllers; None if it is turned off."""
        return self.current.actors.sharing if self.current.actors is not None else None

    @property
    def has_left(self) -> bool:
        """Whether this controller has left the service at an operator's request.

        It is then not registered.
        """
        return self.current.has_left

    # -- start and restart

    async def start(self) -> None:
        """Start listening, so that workers and peers are served at once, and then register."""
        sockets = SocketLimits.of(
            self.settings.platform.limits.sockets, self.settings.platform.nodes
        )
        await self.net.listen(
            self.settings.public_addr, self.api.handle, sockets.public, BODY_LIMIT
        )
        # At first contact a controller that holds most of a large fleet sends more than the
        # limit for users' and workers' requests allows.
        await self.net.listen(
            self.settings.peer_bind, self.dispatch.handle, sockets.peers, MAX_PEER_MESSAGE_BYTES
        )
        log.info("{me} listens", me=self.settings.member)
        run_in_background(self.machine_types.fetch(), "machine types")
        self._start_registration()
        self._tick()

    def _start_registration(self) -> None:
        run_in_background(self._register_and_start(), "registration")

    async def _register_and_start(self) -> None:
        """Register a new incarnation, start its actors and load its jobs.

        The new fence also renews the fencing tokens of this controller's shards.
        """
        current = self.current
        current.is_loaded = False
        actors = self._build_actors()
        current.actors = actors
        self.heartbeats.send_full_state_next()
        await actors.registration.start()
        if actors.standby is not None:
            actors.standby.start()
        await actors.job_controller.load()
        current.is_loaded = True

    def _restart(self, registration: Registration) -> None:
        """Drop the actors of a lost registration; register again unless this controller left."""
        if registration is self.current.registration:
            self.current.actors = None
            if not self.current.has_left:
                self._start_registration()

    # -- building the actors

    def _build_actors(self) -> Actors:
        """Build new actors with a registration that has not been started yet.

        Each actor subscribes to the mirror when it is constructed, so the order of construction
        is the order in which they are notified.
        """
        clock, state, settings, timeouts = self.clock, self.state, self.settings, self.timeouts
        registration = Registration(clock, state, settings, timeouts)
        registration.on_ended = lambda reason: clock.callLater(0, self._restart, registration)
        machine_controller = MachineController(
            clock,
            registration,
            WorkerClient(self.net, timeouts.command_timeout_s),
            timeouts,
            lambda: self.machine_types.by_name,
            self._is_bound,
        )
        job_controller = JobController(clock, registration, state, settings, timeouts)
        quota_manager = QuotaManager(registration, state, settings)
        leader = self._build_leader(registration)
        actors = Actors(registration, machine_controller, job_controller, leader, quota_manager)
        self._connect(actors)
        registration.mirror.listeners.append(self.machine_types.observe)
        if self.operator_settings.standby:
            actors.standby = self._build_standby(actors)
            registration.mirror.listeners.append(self.heartbeats.observe)
        if self.operator_settings.sharing:
            actors.sharing = self._build_sharing(actors)
        return actors

    def _build_leader(self, registration: Registration) -> Leader:
        instance_manager = InstanceManager(
            self.clock,
            self.cloud,
            registration,
            self.settings,
            self.timeouts,
            self.machine_types.by_name,
            LeaderLease(self.clock, registration, self.timeouts),
        )
        return Leader(
            self.clock,
            registration,
            self.state,
            instance_manager,
            self.settings,
            self.timeouts,
            self.operator_settings,
        )

    def _connect(self, actors: Actors) -> None:
        """Connect each actor to the other actors, in this process and at peers."""
        job_controller, quota_manager = actors.job_controller, actors.quota_manager
        job_controller.quota_manager = quota_manager
        quota_manager.loaded_partitions = lambda: job_controller.loaded_partitions
        quota_manager.on_record_written = job_controller.schedule_placement
        job_controller.placer.local_capacities = self._unreserved_capacities
        job_controller.placer.request_capacity = self.capacity_client.request
        job_controller.assignments.send = self.desired_state_delivery.send
        job_controller.placer.preference = actors.leader.preference = self._preference
        actors.leader.shard_leasing.unreachable_since = self.peers.unreachable_since
        actors.machine_controller.leader_caches = self.guidance.caches
        actors.machine_controller.push_statuses = self.status_delivery.publish
        actors.machine_controller.on_capacity_freed = job_controller.schedule_placement

    def _build_standby(self, actors: Actors) -> Standby:
        # Imported only if the standby is turned on, because each module delays the start.
        from beamspar.standby.standby import Standby

        return Standby(
            self.clock,
            actors.registration,
            actors.leader,
            self.timeouts,
            actors.leader.shard_leasing.zone_by_member,
            self.peers.call,
            lambda: summarize(actors, self.guidance, self.contacts),
        )

    def _build_sharing(self, actors: Actors) -> Sharing:
        # Imported only if sharing is turned on, because each module delays the start.
        from beamspar.sharing.service import Sharing

        return Sharing(
            self.clock,
            actors.registration,
            self.state,
            actors.machine_controller,
            actors.leader,
            self.timeouts,
            self.peers.call,
            self.departure.resign,
        )

    # -- callbacks of the actors

    def _unreserved_capacities(self) -> list[MachineCapacity]:
        machine_controller = self.machine_controller
        if machine_controller is None:
            return []
        return self.guidance.unreserved_capacities(machine_controller)

    def _preference(self, spec: JobSpec) -> Preference:
        """Return the placement preference for the job.

        The preference combines the CPUs and memory that accelerator jobs use per accelerator with
        the machine types that are too slow for the start objective of the job's class.
        """
        start_limit_s = self.settings.platform.start_time_limit_s(spec.job_class)
        slow = slow_kinds(spec, start_limit_s, self.machine_types.by_name.values())
        return Preference(self.guidance.per_accelerator, slow)

    async def _is_bound(self, task: str, attempt: int, machine: str) -> bool | None:
        """Whether the stored record binds the attempt to the machine; None if it can't be read."""
        limits = self.settings.platform.state
        try:
            return await records.is_bound(self.state, limits, task, attempt, machine)
        except (StateUnavailableError, msgspec.ValidationError) as error:
            log.info(
                "could not check whether {task} is bound to {machine}: {error}",
                task=task,
                error=error,
                machine=machine,
            )
            return None

    # -- ticks

    def _tick(self, due: float | None = None) -> None:
        """Do all periodic work, about once per heartbeat interval.

        `due` is the time for which this tick was scheduled. The interval varies at random by up to
        10 %.
        """
        interval_s = self.timeouts.member_heartbeat_interval_s * (0.9 + 0.2 * self.rng.random())
        self.clock.callLater(interval_s, self._tick, self.clock.seconds() + interval_s)
        if due is not None and self.job_controller is not None:
            self.job_controller.placer.observe_timer(due)
        self.health.probe()
        self.cancellations.send_pending()
        try:
            actors = self.current.registered_actors()
            if actors is not None:
                self._tick_actors(actors)
        except Exception:
            log.failure("periodic tick failed, the next one runs as scheduled")

    def _tick_actors(self, actors: Actors) -> None:
        actors.machine_controller.tick()
        actors.job_controller.tick()
        actors.quota_manager.tick()
        actors.leader.tick()
        if actors.sharing is not None:
            actors.sharing.tick()
        self.heartbeats.send()
