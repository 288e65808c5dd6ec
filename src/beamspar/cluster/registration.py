"""This process's standing: its grant, its fence and its mirror of the control keys.

Everything that a controller may do hangs on `valid()`: both its grant's renewal
and its knowledge of withdrawals must be recent, counted from when the asking was
*sent*. A cut-off controller therefore stops in time by its own clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.logger import Logger

from beamspar.settings import Settings, Timeouts
from beamspar.state.client import (
    URGENT,
    CompactedError,
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateClient,
    StateUnavailableError,
    drop,
    put,
)
from beamspar.transport.http import Clock, sleep, spawn

log = Logger(namespace="session")

# What this release reads and writes; told with each registration. The first release told none.
RELEASE = 2
CONTROL = "c/"
# Keys that are stored keep the name that they were first given.
PARTITION = "c/folio/"
BLOCK = "c/block/"
LEADER = "c/leader"


class Machine(msgspec.Struct):
    """A machine as its block's record names it."""

    name: str
    address: str
    kind: str
    zone: str
    spot: bool = False


class MachineShard(msgspec.Struct):
    """A leased block.

    Its fencing number is the revision of its record or of its holder's fence, whichever
    is greater: one write of the fence renews all blocks of a restarted controller.
    """

    holder: str
    machines: list[Machine]
    # The former holder was not known to have ended: it may act until its lease does.
    live: bool = False
    # The number when machines only left the block: those that stay need no new one.
    keep: int = 0
    base: int = 0
    fencing_token: int = 0


def shard_record(
    holder: str, machines: list[Machine], live: bool = False, keep: int = 0
) -> dict[str, Any]:
    """What a block's key stores."""
    record: dict[str, Any] = {"holder": holder, "machines": msgspec.to_builtins(machines)}
    if live:
        record["live"] = True
    if keep:
        record["keep"] = keep
    return record


class JobPartition(msgspec.Struct):
    """The jobs that one incarnation accepted; they change owner together."""

    owner: str
    version: int = 0
    # The version by which the present owner took it over.
    since: int = 0


class Registration:
    """Owns the grant and the mirror; tells listeners which control keys changed."""

    def __init__(
        self, clock: Clock, state: StateClient, settings: Settings, timeouts: Timeouts
    ) -> None:
        self.clock = clock
        self.state = state
        self.timeouts = timeouts
        self.me = settings.member
        self.names = [self.me, *(sibling.member for sibling in settings.peers)]
        self.incarnation = 0
        self.lease_id = 0
        self.fence_version = 0
        self.partition = ""
        self.revision = 0
        self.renewed_at = -1e9
        self.watched_at = -1e9
        self.values: dict[str, tuple[Any, int]] = {}
        self.dropped: dict[str, int] = {}
        self.shards: dict[str, MachineShard] = {}
        self.partitions: dict[str, JobPartition] = {}
        self.shard_of: dict[str, str] = {}
        # Jobs that their users withdrew and that are not over yet: by the mirror, and by the
        # word of the controller that confirmed it, with the revision of its write.
        self.cancelled: set[str] = set()
        self.announced_cancellations: dict[str, int] = {}
        self.members: set[str] = set()
        # When this process saw a member's grant end, and who held a machine before.
        self.ended: dict[str, float] = {}
        self.former: dict[str, str] = {}
        self.listeners: list[Callable[[str], None]] = []
        self.started = False
        self.lost = False
        self.on_lease_lost: Callable[[str], None] = lambda why: None

    # -- standing

    @property
    def fence_key(self) -> str:
        """The key of this controller's own fence."""
        return f"c/fence/{self.me}"

    @property
    def registered(self) -> bool:
        """Is the stored fence this incarnation's?"""
        return (
            self.incarnation > 0
            and self.values.get(self.fence_key, (None, 0))[1] == self.fence_version
        )

    def lease_is_valid(self) -> bool:
        """May this process act as holder and owner right now?"""
        if not self.started or self.lost:
            return False
        return self.clock.seconds() < min(self.renewed_at, self.watched_at) + self.timeouts.validity

    def mirror_is_current(self) -> bool:
        """Is the mirror so recent that new work may be begun by it?

        What runs goes on while our lease lasts, but a start by old knowledge may be of what
        its user has cancelled: a controller that is cut off or was frozen begins nothing.
        """
        return self.clock.seconds() - self.watched_at < self.timeouts.mirror_freshness

    def fence(self) -> dict[str, int]:
        """The condition that keeps a former self's or a deposed owner's writes out."""
        return {self.fence_key: self.fence_version}

    def all_members_run(self, release: int) -> bool:
        """Does every controller of the settings run this release or a newer one?

        Its fence tells, also while it is down: it comes back as what it registered as last.
        """
        for name in self.names:
            value, _ = self.values.get(f"c/fence/{name}", (None, 0))
            told = value.get("v") if isinstance(value, dict) else None
            if not isinstance(told, int) or told < release:
                return False
        return True

    def partition_fence(self, partition: str) -> dict[str, int]:
        """The condition that a partition is still owned as the mirror has it."""
        record = self.partitions.get(partition)
        return {PARTITION + partition: record.version if record else 0}

    def is_cancelled(self, job: str) -> bool:
        """Has the job's user cancelled it?"""
        return job in self.cancelled or job in self.announced_cancellations

    def observe_cancellations(self, jobs: dict[str, int]) -> None:
        """Withdrawals that a sibling has stored, though the state service may fail us.

        A stored withdrawal is final, so it is heeded without a read. Our mirror tells all
        that is older than itself: a job that is over by then has no mark any more.
        """
        for job, revision in jobs.items():
            if revision > self.revision and not self.is_cancelled(job):
                self.announced_cancellations[job] = revision
                for listener in self.listeners:
                    listener(f"{CONTROL}w/{job}")

    def _caught_up(self, revision: int) -> None:
        """The mirror holds all changes up to this one. Set after they were taken in: a holder
        relies on being one by all that the mirror has."""
        self.revision = max(self.revision, revision)
        for job in [j for j, at in self.announced_cancellations.items() if at <= self.revision]:
            del self.announced_cancellations[job]

    @property
    def leader(self) -> str | None:
        """Who leads by the mirror; None while nobody does."""
        value = self.values.get(LEADER)
        return str(value[0].get("name")) if value and isinstance(value[0], dict) else None

    def holder_of(self, machine: str) -> tuple[str, int] | None:
        """Who holds the machine, and under which number."""
        shard = self.shards.get(self.shard_of.get(machine, ""))
        return (shard.holder, shard.fencing_token) if shard else None

    def end(self, why: str) -> None:
        """Act no more: the registration is given up."""
        self._lose_registration(why)

    def _lose_registration(self, why: str) -> None:
        if not self.lost:
            self.lost = True
            log.warn("standing lost: {why}", why=why)
            self.on_lease_lost(why)

    # -- start

    async def start(self) -> None:
        """Become a new incarnation. Former selves are fenced out by the same write."""
        while not self.lost:
            try:
                if await self._register():
                    break
            except (StateUnavailableError, LeaseExpiredError) as error:
                log.info("registering waits: {error}", error=error)
            except ConflictError as error:
                log.info("registering again: {failed}", failed=error.failed)
            await sleep(self.clock, self.timeouts.retry)
        self.started = True
        log.info("registered as {me}.{incarnation}", me=self.me, incarnation=self.incarnation)
        spawn(self._renewing(), "renewals")
        spawn(self._watching(), "watch")

    async def _register(self) -> bool:
        sent = self.clock.seconds()
        lease_id = await self.state.grant_lease(self.timeouts.registration_lease)
        await self._load()
        old, version = self.values.get(self.fence_key, ({}, 0))
        incarnation = int(old.get("inc", 0)) + 1
        partition = f"{self.me}.{incarnation}"
        conditions = {self.fence_key: version}
        changes = [
            put(self.fence_key, {"inc": incarnation, "v": RELEASE}),
            put(f"c/member/{self.me}", {"inc": incarnation, "v": RELEASE}, lease_id),
            put(PARTITION + partition, {"owner": self.me}),
        ]
        if self.leader == self.me:
            # Our former self led. It is dead, so there is no need to wait out its grant,
            # during which nobody would lend, rent or replace.
            conditions[LEADER] = self.values[LEADER][1]
            changes.append(drop(LEADER))
        try:
            revision = await self.state.transact(conditions, changes, URGENT)
        except OutcomeUnknownError:
            # It may have been applied: the next round reads what stands and fences it.
            return False
        self.incarnation, self.lease_id, self.fence_version, self.partition = (
            incarnation,
            lease_id,
            revision,
            partition,
        )
        self.renewed_at = sent
        await self._load()
        return self.values.get(self.fence_key, ({}, 0))[1] == revision

    async def _load(self) -> None:
        sent = self.clock.seconds()
        items, revision = await self.state.scan(CONTROL, URGENT)
        fresh = {item.key: (item.value, item.version) for item in items}
        changed = [k for k in self.values if k not in fresh]
        for key in changed:
            self._apply(key, None, revision)
        for key, (value, version) in fresh.items():
            if self.values.get(key, (None, 0))[1] != version:
                self._apply(key, value, version)
        self._caught_up(revision)
        self.watched_at = sent

    # -- mirror

    def observe(self, key: str, value: Any, version: int) -> None:
        """Take in a control write of our own without waiting for the watch."""
        known = max(self.values.get(key, (None, 0))[1], self.dropped.get(key, 0))
        if version > known:
            self._apply(key, value, version)

    def _apply(self, key: str, value: Any, version: int) -> None:
        if value is None:
            known = self.values.get(key)
            if known is None or known[1] > version:
                return
            del self.values[key]
            # The answer to an own write may come after the watch told of its removal.
            self.dropped[key] = version
            while len(self.dropped) > 1000:
                del self.dropped[next(iter(self.dropped))]
        else:
            self.values[key] = (value, version)
        kind, _, name = key.removeprefix(CONTROL).partition("/")
        try:
            if kind == "block":
                self._apply_block(name, value, version)
            elif kind == "folio":
                self._apply_partition(name, value, version)
            elif kind == "w":
                (self.cancelled.discard if value is None else self.cancelled.add)(name)
            elif kind == "member":
                if value is None:
                    self.members.discard(name)
                    self.ended[name] = self.clock.seconds()
                else:
                    self.members.add(name)
                    self.ended.pop(name, None)
            elif kind == "fence":
                if name == self.me and self.started and version != self.fence_version:
                    self._lose_registration("fenced by another")
                self._renumber(name)
        except (msgspec.ValidationError, KeyError, TypeError) as error:
            log.error("odd control record {key}: {error}", key=key, error=error)
        for listener in self.listeners:
            listener(key)

    def _apply_partition(self, name: str, value: Any, version: int) -> None:
        before = self.partitions.pop(name, None)
        if value is not None:
            owner = str(value["owner"])
            kept = before is not None and before.owner == owner
            since = before.since if before and kept else version
            self.partitions[name] = JobPartition(owner, version, since)

    def _apply_block(self, name: str, value: Any, version: int) -> None:
        old = self.shards.pop(name, None)
        holders = {m.name: old.holder for m in old.machines} if old else {}
        for machine in old.machines if old else ():
            if self.shard_of.get(machine.name) == name:
                del self.shard_of[machine.name]
        if value is not None:
            shard = msgspec.convert(value, MachineShard)
            shard.base = shard.keep or version
            shard.fencing_token = max(shard.base, self._fence_of(shard.holder))
            self.shards[name] = shard
            for machine in shard.machines:
                self.shard_of[machine.name] = name
                if holders.get(machine.name, shard.holder) != shard.holder:
                    self.former[machine.name] = holders[machine.name]
        for gone in holders:
            if gone not in self.shard_of:
                self.former.pop(gone, None)

    def _fence_of(self, member: str) -> int:
        return self.values.get(f"c/fence/{member}", (None, 0))[1]

    def _renumber(self, member: str) -> None:
        """A new incarnation, or a fence by the leader: its blocks have a higher number.

        Our own blocks are told of even where the number stays: a block that was leased between
        our registration and the reading after it is read before our fence, and nobody could
        hold it then.
        """
        for name, shard in self.shards.items():
            if shard.holder != member:
                continue
            number = max(shard.base, self._fence_of(member))
            if number != shard.fencing_token or member == self.me:
                shard.fencing_token = number
                for listener in self.listeners:
                    listener(f"c/block/{name}")

    def silent_since(self, machine: str, live: bool) -> float:
        """The latest time at which a former holder may have answered the machine's worker."""
        now = self.clock.seconds()
        if live:
            # It may not know yet, and act until its own lease ends.
            return now + self.timeouts.registration_lease
        former = self.former.get(machine, self.me)
        if former != self.me and former not in self.members:
            # Its lease ended before its grant did, and that was seen here.
            return min(self.ended.get(former, now), now)
        return now

    # -- loops

    async def _renewing(self) -> None:
        while not self.lost:
            sent = self.clock.seconds()
            pause = self.timeouts.lease_renewal
            try:
                await self.state.renew_lease(self.lease_id)
                self.renewed_at = sent
            except LeaseExpiredError:
                self._lose_registration("the grant has ended")
                return
            except StateUnavailableError as error:
                pause = self.timeouts.retry
                log.info("renewal failed: {error}", error=error)
            await sleep(self.clock, pause)

    async def _watching(self) -> None:
        while not self.lost:
            sent = self.clock.seconds()
            try:
                events, revision = await self.state.watch(
                    CONTROL, self.revision, self.timeouts.watch_hold
                )
                if self.lost:
                    return
                for event in events:
                    if event.put is not None:
                        self.observe(event.put, event.value, event.version)
                    elif event.drop is not None:
                        self._apply(event.drop, None, event.version)
                self._caught_up(revision)
                self.watched_at = sent
            except CompactedError:
                try:
                    await self._load()
                except StateUnavailableError:
                    await sleep(self.clock, self.timeouts.retry)
            except StateUnavailableError as error:
                log.info("watch failed: {error}", error=error)
                await sleep(self.clock, self.timeouts.retry)
