"""A watched copy of the control records, and what follows from them.

A mirror may lag behind the state service, never lead it. Decisions that must not rest on an old
copy carry the versions that they saw as conditions of their transaction.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.logger import Logger

from beamspar.settings import Settings, Timeouts
from beamspar.state import keys
from beamspar.state.client import (
    CompactedError,
    KeyValue,
    RequestPriority,
    StateClient,
    StateUnavailableError,
    WatchEvent,
)
from beamspar.state.control_records import JobPartition, MachineShard
from beamspar.transport.http import Clock, sleep

log = Logger(namespace="mirror")

# Removals that are remembered, to tell an own write's late answer from news.
REMEMBERED_REMOVALS = 1000

Listener = Callable[[str], None]


class StateMirror:
    """Owns the copy of the control records; tells listeners which keys changed."""

    def __init__(
        self, clock: Clock, state: StateClient, settings: Settings, timeouts: Timeouts
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
        self.watched_at = -1e9
        self.values: dict[str, tuple[Any, int]] = {}
        self.dropped: dict[str, int] = {}
        self.shards: dict[str, MachineShard] = {}
        self.shard_of: dict[str, str] = {}
        self.partitions: dict[str, JobPartition] = {}
        # Members whose registration lease lasts, and when this process saw others' leases end.
        self.members: set[str] = set()
        self.lease_ended_at: dict[str, float] = {}
        # Who held a machine before its present holder.
        self.previous_holders: dict[str, str] = {}
        # Jobs that their users cancelled and that are not over yet: by the stored marks, and by
        # the word of the controller that stored one, with the revision of its write.
        self.cancelled: set[str] = set()
        self.announced_cancellations: dict[str, int] = {}
        self.listeners: list[Listener] = []
        # Called with a member and the version of its fence, before listeners hear of it.
        self.on_fence_changed: Callable[[str, int], None] = lambda member, version: None

    # -- questions

    def value(self, key: str) -> Any:
        """What the key stores; None if it does not exist."""
        return self.values.get(key, (None, 0))[0]

    def version(self, key: str) -> int:
        """The revision of the key's last change; 0 if it does not exist."""
        return self.values.get(key, (None, 0))[1]

    def is_current(self) -> bool:
        """Is the mirror so recent that new work may be begun by it?

        What runs goes on while our lease lasts, but a start by old knowledge may be of what
        its user has cancelled: a controller that is cut off or was frozen begins nothing.
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

        Its fence tells, also while it is down: it comes back as what it registered as last.
        """
        for member in self.known_members:
            fence = self.value(keys.fence(member))
            their_release = fence.get("v") if isinstance(fence, dict) else None
            if not isinstance(their_release, int) or their_release < release:
                return False
        return True

    def silent_since(self, machine: str, previous_holder_may_act: bool) -> float:
        """The latest time at which a previous holder may have answered the machine's worker."""
        now = self.clock.seconds()
        if previous_holder_may_act:
            # It may not know yet, and act until its own lease ends.
            return now + self.timeouts.registration_lease
        previous = self.previous_holders.get(machine, self.me)
        if previous != self.me and previous not in self.members:
            # It stopped acting before its registration lease ended, and that was seen here.
            return min(self.lease_ended_at.get(previous, now), now)
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
        """Take in changes as they are stored, until it is over."""
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
        """The mirror holds all changes up to this one. Set after they were taken in: a holder
        relies on being one by all that the mirror has."""
        self.revision = max(self.revision, revision)
        stored = [job for job, at in self.announced_cancellations.items() if at <= self.revision]
        for job in stored:
            del self.announced_cancellations[job]

    def observe(self, key: str, value: Any, version: int) -> None:
        """Take in a control record that was written or read apart from the watch."""
        known = max(self.version(key), self.dropped.get(key, 0))
        if version > known:
            self._apply(key, value, version)

    def observe_cancellations(self, jobs: dict[str, int]) -> None:
        """Cancellations that a peer has stored, though the state service may fail us.

        A stored cancellation is final, so it is obeyed without a read. Our mirror tells all
        that is older than itself: a job that is over by then has no mark any more.
        """
        for job, revision in jobs.items():
            if revision > self.revision and not self.is_cancelled(job):
                self.announced_cancellations[job] = revision
                self._notify(keys.cancellation(job))

    def _notify(self, key: str) -> None:
        for listener in self.listeners:
            listener(key)

    # -- taking in one record

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
        """Forget a key; False if that is known, or older than what is known."""
        known = self.values.get(key)
        if known is None or known[1] > version:
            return False
        del self.values[key]
        # The answer to an own write may come after the watch told of its removal.
        self.dropped[key] = version
        while len(self.dropped) > REMEMBERED_REMOVALS:
            del self.dropped[next(iter(self.dropped))]
        return True

    def _index(self, key: str, value: Any, version: int) -> None:
        """Bring up to date what is kept of each kind of record."""
        prefix, name = keys.kind_and_name(key)
        if prefix == keys.SHARD_PREFIX:
            self._index_shard(name, value, version)
        elif prefix == keys.PARTITION_PREFIX:
            self._index_partition(name, value, version)
        elif prefix == keys.CANCELLATION_PREFIX:
            (self.cancelled.discard if value is None else self.cancelled.add)(name)
        elif prefix == keys.MEMBER_PREFIX:
            self._index_member(name, is_alive=value is not None)
        elif prefix == keys.FENCE_PREFIX:
            self.on_fence_changed(name, version)
            self._renew_fencing_tokens(name)

    def _index_member(self, name: str, is_alive: bool) -> None:
        if is_alive:
            self.members.add(name)
            self.lease_ended_at.pop(name, None)
        else:
            self.members.discard(name)
            self.lease_ended_at[name] = self.clock.seconds()

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
        """A new incarnation, or a fence by the leader: its shards have a higher token.

        Our own shards are told of even where the token stays: a shard that was leased between
        our registration and the reading after it is read before our fence, and nobody could
        hold it then.
        """
        fence = self.version(keys.fence(member))
        for name, shard in self.shards.items():
            if shard.holder != member:
                continue
            token = max(shard.record_fencing_token, fence)
            if token != shard.fencing_token or member == self.me:
                shard.fencing_token = token
                self._notify(keys.shard(name))
