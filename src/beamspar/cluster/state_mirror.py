"""A watched cache of the control records, and indexes derived from them.

A mirror may lag behind the state service, never be ahead of it. Decisions that must not rest on
stale records carry the versions that they were based on as conditions of their transaction.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.logger import Logger

from beamspar.settings import Settings
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.control_records import JobPartition, MachineShard, stored_release
from beamspar.state.errors import CompactedError, StateUnavailableError
from beamspar.state.messages import KeyValue, WatchEvent
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep

log = Logger(namespace="mirror")

# Removed keys that are remembered, to recognise the late answer to a write of our own.
REMEMBERED_REMOVALS = 1000
# Before anything happened.
NEVER = -1e9

# Called with the key of a record that has changed.
Listener = Callable[[str], None]
# Called with a member and the version of its fence.
FenceListener = Callable[[str, int], None]


class StateMirror:
    """Owns the cached control records and what is derived from them.

    `listeners` are called with each key that changed, in the order in which they were added;
    `on_fence_changed` is called before them. Other objects read the indexes and never change them.
    """

    def __init__(
        self,
        clock: Clock,
        state: StateClient,
        settings: Settings,
        timeouts: Timeouts,
        on_fence_changed: FenceListener,
    ) -> None:
        self.clock = clock
        self.state = state
        self.timeouts = timeouts
        self.me = settings.member
        # All controllers of the settings, registered or not.
        self.known_members = [self.me, *(peer.member for peer in settings.peers)]
        # All changes up to this revision are in the mirror.
        self.revision = 0
        # When the request was sent whose answer brought the mirror up to date last.
        self.watched_at = NEVER
        # By key: what it stores, and the revision of its last change.
        self.values: dict[str, tuple[Any, int]] = {}
        # By key: the revision of its removal, the oldest first.
        self._removed: dict[str, int] = {}
        self.shards: dict[str, MachineShard] = {}
        # By machine: the name of its shard.
        self.shard_of: dict[str, str] = {}
        self.partitions: dict[str, JobPartition] = {}
        # Members whose registration lease lasts, and when this process learned of the end of
        # others' leases.
        self.members: set[str] = set()
        self._lease_ended_at: dict[str, float] = {}
        # By machine: who held it before its present holder.
        self.previous_holders: dict[str, str] = {}
        # Jobs that their users cancelled and that are not over yet: by the stored marks, and as
        # announced by the controller that stored one, with the revision of its write.
        self.cancelled: set[str] = set()
        self.announced_cancellations: dict[str, int] = {}
        self.listeners: list[Listener] = []
        self._on_fence_changed = on_fence_changed

    # -- queries

    def value(self, key: str) -> Any:
        """What the key stores; None if it does not exist."""
        value, _ = self.values.get(key, (None, 0))
        return value

    def version(self, key: str) -> int:
        """The revision of the key's last change; 0 if it does not exist."""
        _, version = self.values.get(key, (None, 0))
        return version

    def is_current(self) -> bool:
        """Is the mirror recent enough to start new work by it?

        What runs goes on while our lease lasts, but a start by a stale mirror may be of a job
        that its user has cancelled: a controller that is cut off or was frozen starts nothing.
        """
        return self.clock.seconds() - self.watched_at < self.timeouts.mirror_freshness

    @property
    def leader(self) -> str | None:
        """Who leads; None while nobody does."""
        record = self.value(keys.LEADER)
        return str(record.get("name")) if isinstance(record, dict) else None

    def holder_of(self, machine: str) -> tuple[str, int] | None:
        """Who holds the machine, and under which fencing token."""
        shard = self.shards.get(self.shard_of.get(machine, ""))
        return (shard.holder, shard.fencing_token) if shard else None

    def partition_condition(self, partition: str) -> dict[str, int]:
        """The condition that a partition is still owned as the mirror has it."""
        record = self.partitions.get(partition)
        return {keys.partition(partition): record.version if record else 0}

    def is_cancelled(self, job: str) -> bool:
        """Has the job's user cancelled it?"""
        return job in self.cancelled or job in self.announced_cancellations

    def all_members_run(self, release: int) -> bool:
        """Does every controller of the settings run this release or a newer one?

        Its fence says so, also while it is down: it restarts with the release that it
        registered with last.
        """
        return all(
            stored_release(self.value(keys.fence(member))) >= release
            for member in self.known_members
        )

    def silent_since(self, machine: str, previous_holder_may_act: bool) -> float:
        """The latest time at which a previous holder may have answered the machine's worker.

        From then on the worker's own lease runs out, if nobody else answers it.
        """
        now = self.clock.seconds()
        if previous_holder_may_act:
            # It may not know yet that it was replaced, and act until its own lease ends.
            return now + self.timeouts.registration_lease
        previous = self.previous_holders.get(machine, self.me)
        if previous != self.me and previous not in self.members:
            # It stopped acting before its registration lease ended, and we learned of that then.
            return min(self._lease_ended_at.get(previous, now), now)
        return now

    # -- following the state service

    async def load(self) -> None:
        """Read all control records; raises StateUnavailableError."""
        sent = self.clock.seconds()
        items, revision = await self.state.scan(keys.CONTROL_PREFIX, RequestPriority.URGENT)
        self._replace_all(items, revision)
        self._caught_up(revision)
        self.watched_at = sent

    def _replace_all(self, items: list[KeyValue], revision: int) -> None:
        stored = {item.key: (item.value, item.version) for item in items}
        for key in [key for key in self.values if key not in stored]:
            self._apply(key, None, revision)
        for key, (value, version) in stored.items():
            if self.version(key) != version:
                self._apply(key, value, version)

    async def follow(self, is_over: Callable[[], bool]) -> None:
        """Watch the control records and apply their changes, until `is_over()`."""
        while not is_over():
            try:
                await self._watch_once(is_over)
            except CompactedError:
                try:
                    await self.load()
                except StateUnavailableError:
                    await sleep(self.clock, self.timeouts.retry)
            except StateUnavailableError as error:
                log.info("watch failed: {error}", error=error)
                await sleep(self.clock, self.timeouts.retry)

    async def _watch_once(self, is_over: Callable[[], bool]) -> None:
        sent = self.clock.seconds()
        events, revision = await self.state.watch(
            keys.CONTROL_PREFIX, self.revision, self.timeouts.watch_hold
        )
        if is_over():
            return
        for event in events:
            self._apply_event(event)
        self._caught_up(revision)
        self.watched_at = sent

    def _apply_event(self, event: WatchEvent) -> None:
        if event.put is not None:
            self.observe(event.put, event.value, event.version)
        elif event.drop is not None:
            self._apply(event.drop, None, event.version)

    def _caught_up(self, revision: int) -> None:
        """The mirror holds all changes up to this revision.

        Called after they were applied: a machine controller holds its machines by all that the
        mirror has up to its revision.
        """
        self.revision = max(self.revision, revision)
        stored = [job for job, at in self.announced_cancellations.items() if at <= self.revision]
        for job in stored:
            del self.announced_cancellations[job]

    def observe(self, key: str, value: Any, version: int) -> None:
        """Apply a control record that was written or read apart from the watch."""
        known = max(self.version(key), self._removed.get(key, 0))
        if version > known:
            self._apply(key, value, version)

    def observe_cancellations(self, jobs: dict[str, int]) -> None:
        """Cancellations that a peer has stored, with the revisions of their writes.

        They arrive also while the state service is out of reach for us. A stored cancellation is
        final, so it is obeyed without a read. Those up to our mirror's revision are ignored: the
        mirror has them, or their jobs are over and have no mark any more.
        """
        for job, revision in jobs.items():
            if revision > self.revision and not self.is_cancelled(job):
                self.announced_cancellations[job] = revision
                self._notify(keys.cancellation(job))

    def _notify(self, key: str) -> None:
        for listener in self.listeners:
            listener(key)

    # -- applying one record

    def _apply(self, key: str, value: Any, version: int) -> None:
        if value is None:
            if not self._remove(key, version):
                return
        else:
            self.values[key] = (value, version)
        try:
            self._index(key, value, version)
        except (msgspec.ValidationError, KeyError, TypeError) as error:
            log.error("malformed control record {key}: {error}", key=key, error=error)
        self._notify(key)

    def _remove(self, key: str, version: int) -> bool:
        """Remove a key; False if it does not exist or was written after this removal."""
        if key not in self.values or self.version(key) > version:
            return False
        del self.values[key]
        # The answer to a write of our own may come after the watch reported its removal.
        self._removed[key] = version
        while len(self._removed) > REMEMBERED_REMOVALS:
            del self._removed[next(iter(self._removed))]
        return True

    def _index(self, key: str, value: Any, version: int) -> None:
        """Update what is derived from each kind of record; raises if the record is malformed."""
        prefix, name = keys.kind_and_name(key)
        if prefix == keys.SHARD_PREFIX:
            self._index_shard(name, value, version)
        elif prefix == keys.PARTITION_PREFIX:
            self._index_partition(name, value, version)
        elif prefix == keys.CANCELLATION_PREFIX:
            self._index_cancellation(name, is_stored=value is not None)
        elif prefix == keys.MEMBER_PREFIX:
            self._index_member(name, is_alive=value is not None)
        elif prefix == keys.FENCE_PREFIX:
            self._on_fence_changed(name, version)
            self._renew_fencing_tokens(name)

    def _index_cancellation(self, job: str, is_stored: bool) -> None:
        if is_stored:
            self.cancelled.add(job)
        else:
            self.cancelled.discard(job)

    def _index_member(self, name: str, is_alive: bool) -> None:
        if is_alive:
            self.members.add(name)
            self._lease_ended_at.pop(name, None)
        else:
            self.members.discard(name)
            self._lease_ended_at[name] = self.clock.seconds()

    def _index_partition(self, name: str, value: Any, version: int) -> None:
        before = self.partitions.pop(name, None)
        if value is None:
            return
        owner = str(value["owner"])
        keeps_owner = before is not None and before.owner == owner
        owned_since = before.owned_since if before and keeps_owner else version
        self.partitions[name] = JobPartition(owner, version, owned_since)

    def _index_shard(self, name: str, value: Any, version: int) -> None:
        old = self.shards.pop(name, None)
        old_holders = {machine.name: old.holder for machine in old.machines} if old else {}
        for machine in old_holders:
            if self.shard_of.get(machine) == name:
                del self.shard_of[machine]
        if value is not None:
            self._add_shard(name, value, version, old_holders)
        for machine in old_holders:
            if machine not in self.shard_of:
                self.previous_holders.pop(machine, None)

    def _add_shard(self, name: str, value: Any, version: int, old_holders: dict[str, str]) -> None:
        shard = msgspec.convert(value, MachineShard)
        shard.record_fencing_token = shard.kept_fencing_token or version
        fence = self.version(keys.fence(shard.holder))
        shard.fencing_token = max(shard.record_fencing_token, fence)
        self.shards[name] = shard
        for machine in shard.machines:
            self.shard_of[machine.name] = name
            old_holder = old_holders.get(machine.name, shard.holder)
            if old_holder != shard.holder:
                self.previous_holders[machine.name] = old_holder

    def _renew_fencing_tokens(self, member: str) -> None:
        """Raise the tokens of a member's shards: a new incarnation or the leader wrote its fence.

        Listeners are notified of our own shards even where the token stays: a shard that was
        leased between our registration and the read after it is applied before our fence, and
        could not be held then.
        """
        fence = self.version(keys.fence(member))
        for name, shard in self.shards.items():
            if shard.holder != member:
                continue
            token = max(shard.record_fencing_token, fence)
            if token != shard.fencing_token or member == self.me:
                shard.fencing_token = token
                self._notify(keys.shard(name))
