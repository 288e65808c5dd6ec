"""The cloud's instances: the leader creates (scale out), lists, and deletes (scale in) them.

The name of a creation request contains the incarnation of the controller that sends it. Each
incarnation is registered once, so no name is ever used twice, even by another controller.
"""

from __future__ import annotations

from collections.abc import Callable

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.decision_log.decision_log import DecisionLog
from beamspar.decision_log.decisions import (
    BootingMachine,
    InstanceRequestAbandoned,
    InstancesGranted,
    InstancesRefused,
    InstancesRequested,
    LeaderState,
    MachinesDeleted,
    MachinesStarted,
    Place,
)
from beamspar.leader.cloud_client import (
    CloudClient,
    CloudUnavailableError,
    InstancePage,
    NoCapacityError,
)
from beamspar.leader.demand import CapacityNeed
from beamspar.leader.leader_lease import LeaderLease, LeaderLeaseError
from beamspar.leader.scale_out_planning import (
    ScaleOut,
    ScaleOutPlanner,
    empty_capacity,
)
from beamspar.protocol.cloud import Instance, MachineType
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.settings import Settings
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, run_in_background, sleep

log = Logger(namespace="instances")

# Returns whether the named instance may be deleted now.
DeletionCheck = Callable[[str], bool]

# Maximum number of instances that the cloud deletes in one request (PROTOCOL).
MAX_DELETED_AT_ONCE = 100
# Boots usually take up to this multiple of the type's boot time (PROTOCOL). A later machine may
# never come up, so another is created for the pending tasks; a surplus machine is deleted once it
# is idle.
LATE_BOOT_FACTOR = 1.5
# Multiples of the type's boot time. After the first, an instance that is still starting is
# deleted; after the second, an instance that is not up yet is no longer expected.
FAILED_BOOT_FACTOR, ABANDONED_BOOT_FACTOR = 5, 6
# Retries for one page of the list before reading the whole list is given up.
PAGE_RETRIES = 3
# Backoff for a place that had no capacity, in multiples of the cloud's list lag: it starts at the
# minimum and doubles with each refusal up to the maximum.
MIN_REFUSAL_BACKOFF_LAGS, MAX_REFUSAL_BACKOFF_LAGS = 1, 3


class InstanceManager:
    """Owns the leader's view of the cloud's instances, and the requests that change them.

    Idle while another controller leads. The methods that call the cloud raise the errors of
    `CloudClient`, except for `scale_in`, which logs them.

    What was decided may be outdated when its call is sent: the call may have waited for others, and
    this process may have stood still meanwhile. So instances are created and deleted only under the
    leader's valid lease, and each deletion is checked again right before its request.
    """

    def __init__(
        self,
        clock: Clock,
        cloud: CloudClient,
        registration: Registration,
        settings: Settings,
        timeouts: Timeouts,
        types: dict[str, MachineType],
        lease: LeaderLease,
        decision_log: DecisionLog | None = None,
    ) -> None:
        self.clock = clock
        self.cloud = cloud
        self.lease = lease
        self.registration = registration
        self.timeouts = timeouts
        self.list_lag_s = settings.platform.cloud.list_lag_s
        # Pause between two calls of one kind, in seconds. It leaves one half of the cloud's rate
        # limit to requests that create instances, and the other to lists and deletions.
        self.call_interval_s = 2.0 / settings.platform.cloud.rps
        self.types = types
        self.planner = ScaleOutPlanner(types, self._is_refused)
        self.listed_instances: dict[str, Instance] = {}
        # Number of listed instances; while pages are being read, at least those read so far.
        self.listed_count = 0
        self.decision_log = decision_log or DecisionLog(clock, LeaderState())
        self.leader_state = self.decision_log.state
        # Parts of the replicated state, which decisions modify. Only entries of `booting` are also
        # added and removed here without a decision: added if the cloud lists a starting instance,
        # removed if its boot has taken too long.
        self.booting = self.leader_state.booting
        self.refusals = self.leader_state.refusals
        self.deleted_machines = self.leader_state.deleted_machines
        # Requests whose response a former leader had not received when it failed.
        self.inherited_requests: list[InstancesRequested] = []
        # Instances that are queued for deletion, and those in the deletion request in flight.
        self.to_delete: dict[str, DeletionCheck] = {}
        self.deleting: set[str] = set()
        self.is_scaling_in = False
        self.listed_at = -1e9
        self.requests_made = 0

    # -- listing

    async def refresh(self) -> None:
        """Read the cloud's list, which lags and may be older than the previous one."""
        instances = await self._list_all()
        now = self.clock.seconds()
        self.listed_at = now
        self.listed_instances = {instance.machine: instance for instance in instances}
        self.listed_count = len(instances)
        for instance in instances:
            if instance.machine in self.deleted_machines:
                continue
            if instance.status == "starting":
                self._observe_starting(instance, now)
            elif instance.status == "failed":
                log.info("{machine} has failed and will be deleted", machine=instance.machine)
                self.scale_in([instance.machine], self._has_failed)

    def _has_failed(self, name: str) -> bool:
        instance = self.listed_instances.get(name)
        return instance is not None and instance.status == "failed"

    def _observe_starting(self, instance: Instance, now: float) -> None:
        since = now - instance.age_s
        self.booting.setdefault(
            instance.machine,
            BootingMachine(instance.kind, instance.zone, bool(instance.spot), since),
        )
        kind = self.types.get(instance.kind)
        boot_s = kind.boot_s if kind else self.list_lag_s
        if instance.age_s > boot_s * FAILED_BOOT_FACTOR:
            log.warn(
                "{machine} did not come up in time and will be deleted", machine=instance.machine
            )
            self.scale_in([instance.machine], self._is_not_up)

    def _is_not_up(self, name: str) -> bool:
        """Return whether the instance's worker has sent no heartbeat: the cloud's list lags."""
        return name not in self.registration.mirror.shard_of

    async def _list_all(self) -> list[Instance]:
        """Read all pages of the list, with pauses that leave half of the rate to scaling out.

        Without pauses, the cloud refuses the pages beyond its burst limit. The list of a fleet of
        more than 1,500 machines (at 1.5 calls per second) would then never be complete, and each
        machine would get a shard of its own.
        """
        instances: list[Instance] = []
        after = ""
        while True:
            page = await self._list_page(after)
            instances.extend(page.instances)
            self.listed_count = max(self.listed_count, len(instances))
            if not page.truncated:
                return instances
            after = page.instances[-1].machine
            await sleep(self.clock, self.call_interval_s)

    async def _list_page(self, after: str) -> InstancePage:
        """Read one page, retrying a few times when the call fails."""
        for _ in range(PAGE_RETRIES):
            try:
                return await self.cloud.list_instances(after)
            except CloudUnavailableError:
                await sleep(self.clock, self.call_interval_s)
        return await self.cloud.list_instances(after)

    def price(self, capacity: MachineCapacity) -> float:
        """Return the price of the machine per hour, 0 if its type is unknown."""
        kind = self.types.get(capacity.kind)
        return (kind.spot_price if capacity.spot else kind.price) if kind else 0.0

    def observe_running(self, name: str) -> None:
        """Record that the machine is up, as its worker sends heartbeats."""
        if name in self.booting:
            self.decision_log.record(MachinesStarted([name]))

    def inherit_requests(self) -> None:
        """Queue the pending requests of former leaders that the replicated state contains."""
        self.inherited_requests = list(self.leader_state.pending.values())

    # -- scaling in

    def scale_in(self, names: list[str], is_due: DeletionCheck) -> None:
        """Delete instances in batches, paced to leave half of the cloud's rate to scaling out.

        `is_due` is asked right before an instance's request is sent. Instances that are not due by
        then, or whose deletion fails, are dropped from the queue; the caller requests it again.
        """
        self.to_delete.update({name: is_due for name in names if name not in self.deleted_machines})
        if self.to_delete and not self.is_scaling_in:
            self.is_scaling_in = True
            run_in_background(self._scale_in(), "scaling in")

    async def _scale_in(self) -> None:
        try:
            while self.to_delete:
                names = self._take_due()
                if not names:
                    continue
                self.deleting.update(names)
                try:
                    await self._delete(names)
                finally:
                    self.deleting.difference_update(names)
                await sleep(self.clock, self.call_interval_s)
        finally:
            self.is_scaling_in = False

    def _take_due(self) -> list[str]:
        """Remove the next batch from the queue; return those instances that may be deleted now."""
        batch = sorted(self.to_delete)[:MAX_DELETED_AT_ONCE]
        checks = {name: self.to_delete.pop(name) for name in batch}
        due = [name for name, is_due in checks.items() if self.lease.is_valid() and is_due(name)]
        if len(due) < len(batch):
            log.info(
                "not deleting {names}: no longer due, or the leader's lease may have expired",
                names=sorted(checks.keys() - set(due)),
            )
        return due

    async def _delete(self, names: list[str]) -> None:
        try:
            await self.cloud.delete_instances(self.lease, names)
        except (CloudUnavailableError, NoCapacityError, LeaderLeaseError) as error:
            # The caller requests the deletion again while its reason persists.
            log.info(
                "deleting {names} failed, will retry if still due: {error}",
                names=names,
                error=error,
            )
            return
        log.info("deleted {names}", names=names)
        # Places that were refused for lack of capacity may have some now.
        deleted = [self.listed_instances.get(name) or self.booting.get(name) for name in names]
        places = {(i.kind, i.zone, bool(i.spot)) for i in deleted if i is not None}
        self.decision_log.record(MachinesDeleted(names, sorted(places)))

    # -- scaling out

    def plan_scale_out(
        self, needs: list[CapacityNeed], capacities: list[MachineCapacity]
    ) -> ScaleOut | None:
        """Plan the next request for needs that free capacity and booting machines don't cover.

        See `ScaleOutPlanner.plan`.
        """
        return self.planner.plan(needs, capacities + self._booting_capacities())

    def _is_refused(self, place: Place) -> bool:
        until, _ = self.refusals.get(place, (0.0, 0.0))
        return until > self.clock.seconds()

    def _booting_capacities(self) -> list[MachineCapacity]:
        """Return the capacity of machines that are created but not up yet.

        Late machines are not counted, and those that are no longer expected are removed
        from `booting`.
        """
        now = self.clock.seconds()
        capacities = []
        for name, boot in list(self.booting.items()):
            kind = self.types.get(boot.kind)
            if kind is None or now - boot.since > kind.boot_s * ABANDONED_BOOT_FACTOR:
                del self.booting[name]
            elif now - boot.since < kind.boot_s * LATE_BOOT_FACTOR:
                capacities.append(empty_capacity(kind, name, boot.zone, boot.spot))
        return capacities

    async def scale_out(self, place: Place, count: int) -> None:
        """Create up to `count` instances, with a request name that is never reused."""
        self.requests_made += 1
        name = f"{self.registration.own_name}.{self.registration.incarnation}.{self.requests_made}"
        request = InstancesRequested(name, place, count)
        self.decision_log.record(request)
        await self._carry_out(request)

    async def repeat_inherited_request(self) -> None:
        """Repeat a former leader's request under its name, which makes it idempotent."""
        request = self.inherited_requests.pop(0)
        log.info("repeating scale-out {name} of a former leader", name=request.name)
        await self._carry_out(request)

    async def _carry_out(self, request: InstancesRequested) -> None:
        kind, zone, spot = place = request.place
        try:
            names = await self._create(request)
        except NoCapacityError:
            pause_s = self._refusal_backoff_s(place)
            self.decision_log.record(InstancesRefused(request.name, place, pause_s))
            log.info(
                "the cloud has no capacity for {kind} in {zone} (spot: {spot}), backing off for "
                "{pause_s:.1f} s",
                kind=kind,
                zone=zone,
                spot=spot,
                pause_s=pause_s,
            )
            return
        except (CloudUnavailableError, LeaderLeaseError):
            self.decision_log.record(InstanceRequestAbandoned(request.name))
            raise
        pause_s = self.list_lag_s if len(names) < request.count else 0.0
        self.decision_log.record(InstancesGranted(request.name, place, names, pause_s))
        log.info("created {names} for {place}", names=names, place=place)

    def _refusal_backoff_s(self, place: Place) -> float:
        """Return twice the last backoff of the place, within the bounds."""
        _, last_s = self.refusals.get(place, (0.0, self.list_lag_s * MIN_REFUSAL_BACKOFF_LAGS / 2))
        return min(last_s * 2, self.list_lag_s * MAX_REFUSAL_BACKOFF_LAGS)

    async def _create(self, request: InstancesRequested) -> list[str]:
        """Send the request, and once more under the same name if the outcome is unknown.

        The name makes the request idempotent, so it takes effect only once.
        """
        name, place, count = request.name, request.place, request.count
        try:
            return await self.cloud.create_instances(self.lease, name, place, count)
        except CloudUnavailableError as error:
            log.info("scale-out {name} failed, repeating it once: {error}", name=name, error=error)
        return await self.cloud.create_instances(self.lease, name, place, count)
