"""The cloud's instances: what the leader creates (scale out), lists, and deletes (scale in).

Names of requests carry the incarnation of the controller that sends them, which the state service
has handed out once, so no name is ever used twice, not by another controller either.
"""

from __future__ import annotations

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.decision_log.decision_log import DecisionLog
from beamspar.decision_log.decisions import (
    Booting,
    InstanceRequestAbandoned,
    InstancesGranted,
    InstancesRefused,
    InstancesRequested,
    LeadState,
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
from beamspar.leader.scale_out_planning import (
    ScaleOut,
    ScaleOutPlanner,
    empty_room,
    reserve_room,
)
from beamspar.protocol.cloud import Instance, MachineType
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.room import Room
from beamspar.settings import Settings
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep, spawn

log = Logger(namespace="instances")

# Instances that the cloud deletes by one request at most (PROTOCOL).
MAX_DELETED_AT_ONCE = 100
# Boots usually take up to this share of the type's boot time (PROTOCOL). A later machine may never
# come: what waits for it gets another, and the surplus is deleted once it is idle.
LATE_BOOT = 1.5
# After so many boot times an instance that is still starting is deleted, and after so many one
# that this controller asked for is not waited for any more.
FAILED_BOOT, FORGOTTEN_BOOT = 5, 6
# How often one page of the list is asked for again before the whole list is given up.
PAGE_RETRIES = 3
# How long a place that had no capacity is not asked again, in lags of the cloud's list: the first
# pause is the shortest, and each further one twice as long up to the longest.
SHORTEST_REFUSAL_LAGS, LONGEST_REFUSAL_LAGS = 1, 3


class InstanceManager:
    """Owns the leader's picture of the cloud's instances, and the requests that change it.

    Idle while another controller leads. The methods that call the cloud raise what `CloudClient`
    raises, but for `give_back`.
    """

    def __init__(
        self,
        clock: Clock,
        cloud: CloudClient,
        registration: Registration,
        settings: Settings,
        timeouts: Timeouts,
        types: dict[str, MachineType],
        decisions: DecisionLog | None = None,
    ) -> None:
        self.clock = clock
        self.cloud = cloud
        self.registration = registration
        self.timeouts = timeouts
        self.list_lag_s = settings.platform.cloud.list_lag_s
        # The pause between two calls, in seconds: half of the calls are for creating instances,
        # lists and deletions need the rest.
        self.gap = 2.0 / settings.platform.cloud.rps
        self.types = types
        self.planner = ScaleOutPlanner(types, self._is_refused)
        self.listed: dict[str, Instance] = {}
        # Instances that the list names so far, while its pages are being read.
        self.counted = 0
        self.decisions = decisions or DecisionLog(clock, LeadState())
        self.lead = self.decisions.state
        # Parts of the decided state: changed by decisions, read here.
        self.booting = self.lead.booting
        self.refused = self.lead.refused
        self.deleted = self.lead.returned
        # Requests of a former leader whose answer it did not live to see.
        self.inherited: list[InstancesRequested] = []
        # Those that are to be deleted, and those whose deletion the cloud is being asked for.
        self.to_delete: set[str] = set()
        self.deleting: set[str] = set()
        self.is_scaling_in = False
        self.listed_at = -1e9
        self.requests_made = 0

    # -- what is there

    async def refresh(self) -> None:
        """Read the cloud's list; it lags, and may be older than the one before."""
        instances = await self._list_all()
        now = self.clock.seconds()
        self.listed_at = now
        self.listed = {instance.machine: instance for instance in instances}
        self.counted = len(instances)
        for instance in instances:
            if instance.machine in self.deleted:
                continue
            if instance.status == "starting":
                self._observe_starting(instance, now)
            elif instance.status == "failed":
                log.info("{machine} has failed: it is deleted", machine=instance.machine)
                self.scale_in([instance.machine])

    def _observe_starting(self, instance: Instance, now: float) -> None:
        since = now - instance.age_s
        self.booting.setdefault(
            instance.machine,
            Booting(instance.kind, instance.zone, bool(instance.spot), since),
        )
        kind = self.types.get(instance.kind)
        boot_s = kind.boot_s if kind else self.list_lag_s
        if instance.age_s > boot_s * FAILED_BOOT:
            log.warn("{machine} never came up: it is deleted", machine=instance.machine)
            self.scale_in([instance.machine])

    async def _list_all(self) -> list[Instance]:
        """All pages of the list, the later ones at the pace that leaves the rate to scaling out.

        One after the other without a pause, more pages than a burst were refused: the list of a
        fleet beyond 1,500 machines (at 1.5 calls a second) was never read, and each machine got a
        shard of its own.
        """
        instances: list[Instance] = []
        after = ""
        while True:
            page = await self._list_page(after)
            instances.extend(page.instances)
            self.counted = max(self.counted, len(instances))
            if not page.truncated:
                return instances
            after = page.instances[-1].machine
            await sleep(self.clock, self.gap)

    async def _list_page(self, after: str) -> InstancePage:
        """One page; it is asked for again a few times when it is refused."""
        for _ in range(PAGE_RETRIES):
            try:
                return await self.cloud.list_instances(after)
            except CloudUnavailableError:
                await sleep(self.clock, self.gap)
        return await self.cloud.list_instances(after)

    def price(self, room: Room) -> float:
        """What the machine costs an hour."""
        kind = self.types.get(room.kind)
        return (kind.spot_price if room.spot else kind.price) if kind else 0.0

    def observe_running(self, name: str) -> None:
        """The machine's worker sends heartbeats."""
        if name in self.booting:
            self.decisions.decide(MachinesStarted([name]))

    def inherit_requests(self) -> None:
        """Lead from now on, by what the former leader was known to have decided."""
        self.inherited = list(self.lead.pending.values())

    # -- scaling in

    def scale_in(self, names: list[str]) -> None:
        """Scale in: delete instances, together, in calls that leave the cloud's rate to scaling
        out. Those that can't be deleted now are dropped: who asked for it asks again."""
        self.to_delete.update(name for name in names if name not in self.deleted)
        if self.to_delete and not self.is_scaling_in:
            self.is_scaling_in = True
            spawn(self._scale_in(), "scaling in")

    async def _scale_in(self) -> None:
        try:
            while self.to_delete:
                names = sorted(self.to_delete)[:MAX_DELETED_AT_ONCE]
                self.to_delete.difference_update(names)
                self.deleting.update(names)
                try:
                    await self._delete(names)
                finally:
                    self.deleting.difference_update(names)
                await sleep(self.clock, self.gap)
        finally:
            self.is_scaling_in = False

    async def _delete(self, names: list[str]) -> None:
        try:
            await self.cloud.delete_instances(names)
        except (CloudUnavailableError, NoCapacityError) as error:
            # Who asked for it asks again while it is so.
            log.info("deleting {names} waits: {error}", names=names, error=error)
            return
        log.info("deleted {names}", names=names)
        # What was refused for want of machines may be had now.
        known = [self.listed.get(name) or self.booting.get(name) for name in names]
        freed = {(i.kind, i.zone, bool(i.spot)) for i in known if i is not None}
        self.decisions.decide(MachinesDeleted(names, sorted(freed)))

    # -- scaling out

    def plan_scale_out(
        self, needs: list[tuple[JobSpec, int]], rooms: list[Room]
    ) -> ScaleOut | None:
        """The next request: what free room and machines that boot don't cover; see
        `ScaleOutPlanner.plan`."""
        return self.planner.plan(needs, rooms + self._booting_rooms())

    def in_one_zone(self, spec: JobSpec, count: int, rooms: list[Room]) -> JobSpec:
        """See `ScaleOutPlanner.bind_to_zone`."""
        return self.planner.bind_to_zone(spec, count, rooms)

    def take(self, spec: JobSpec, count: int, rooms: list[Room]) -> int:
        """See `reserve_room`."""
        return reserve_room(spec, count, rooms)

    def _is_refused(self, place: Place) -> bool:
        until, _ = self.refused.get(place, (0.0, 0.0))
        return until > self.clock.seconds()

    def _booting_rooms(self) -> list[Room]:
        """Machines that were created and are not up yet, as if they were empty."""
        now = self.clock.seconds()
        rooms = []
        for name, boot in list(self.booting.items()):
            kind = self.types.get(boot.kind)
            if kind is None or now - boot.since > kind.boot_s * FORGOTTEN_BOOT:
                del self.booting[name]
            elif now - boot.since < kind.boot_s * LATE_BOOT:
                rooms.append(empty_room(kind, name, boot.zone, boot.spot))
        return rooms

    async def scale_out(self, place: Place, count: int) -> None:
        """Scale out: create so many instances, under a name that is never used again."""
        self.requests_made += 1
        name = f"{self.registration.me}.{self.registration.incarnation}.{self.requests_made}"
        request = InstancesRequested(name, place, count)
        self.decisions.decide(request)
        await self._carry_out(request)

    async def repeat_inherited_request(self) -> None:
        """Repeat a former leader's request under its name: it is idempotent, whoever asks."""
        request = self.inherited.pop(0)
        log.info("scale-out {name} of a former leader is repeated", name=request.name)
        await self._carry_out(request)

    async def _carry_out(self, request: InstancesRequested) -> None:
        kind, zone, spot = place = request.place
        try:
            names = await self._create(request)
        except NoCapacityError:
            pause_s = self._refusal_pause_s(place)
            self.decisions.decide(InstancesRefused(request.name, place, pause_s))
            log.info("no {kind} in {zone} (spot {spot})", kind=kind, zone=zone, spot=spot)
            return
        except CloudUnavailableError:
            self.decisions.decide(InstanceRequestAbandoned(request.name))
            raise
        pause_s = self.list_lag_s if len(names) < request.count else 0.0
        self.decisions.decide(InstancesGranted(request.name, place, names, pause_s))
        log.info("created {names} for {place}", names=names, place=place)

    def _refusal_pause_s(self, place: Place) -> float:
        """Twice the place's last pause, within bounds."""
        _, last_s = self.refused.get(place, (0.0, self.list_lag_s * SHORTEST_REFUSAL_LAGS / 2))
        return min(last_s * 2, self.list_lag_s * LONGEST_REFUSAL_LAGS)

    async def _create(self, request: InstancesRequested) -> list[str]:
        """Ask twice under the same name when the answer was lost: it is carried out once."""
        kind, zone, spot = request.place
        try:
            return await self.cloud.create_instances(request.name, kind, zone, spot, request.count)
        except CloudUnavailableError as error:
            log.info("scale-out {name} is repeated: {error}", name=request.name, error=error)
        return await self.cloud.create_instances(request.name, kind, zone, spot, request.count)
