"""A cache of the control records that is kept current by a watch, and indexes derived from them.

A mirror may lag behind the state service but is never ahead of it. A decision that must not be
based on stale records includes the versions of the records it used as conditions of
its transaction.
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

# The number of removed keys kept, to recognize a late response to a write of this controller.
MAX_REMEMBERED_REMOVALS = 1000
# A time long before any reading of the process's clock.
NEVER = -1e9

# Called with the key of a record that has changed.
Listener = Callable[[str], None]
# Called with a member and the version of its fence.
FenceListener = Callable[[str, int], None]


class StateMirror:
    """Owns the cached control records and the indexes derived from them.

    `listeners` are called with each changed key, in the order in which they were added;
    `on_fence_changed` is called before them. Other objects only read the indexes.
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
        self.own_name = settings.member
        # All controllers listed in the settings, registered or not.
        self.known_members = [self.own_name, *(peer.member for peer in settings.peers)]
        # All changes up to this revision are in the mirror.
        self.revision = 0
        # The time at which the request was sent whose response last brought the mirror up to date.
        self.current_as_of = NEVER
        # By key: the stored value and the revision of its last change.
        self.values: dict[str, tuple[Any, int]] = {}
        # By key: the revision of its removal, the oldest removal first.
        self._removed: dict[str, int] = {}
        self.shards: dict[str, MachineShard] = {}
        # By machine: the name of its shard.
        self.shard_of: dict[str, str] = {}
        self.partitions: dict[str, JobPartition] = {}
        # Members whose registration lease has not expired, and the times at which this process
        # observed that others' leases had ended.
        self.members: set[str] = set()
        self._lease_ended_at: dict[str, float] = {}
        # By machine: the holder before the current one.
        self.previous_holders: dict[str, str] = {}
        # Unfinished jobs that their users have cancelled: those with a stored cancellation mark,
        # and those announced by the controller that stored the mark, with the write's revision.
        self.cancelled: set[str] = set()
        self.announced_cancellations: dict[str, int] = {}
        self.listeners: list[Listener] = []
        self._on_fence_changed = on_fence_changed

    # -- queries

    def value(self, key: str) -> Any:
        """Return the value of the key; None if it does not exist."""
        value, _ = self.values.get(key, (None, 0))
        return value

    def version(self, key: str) -> int:
        """Return the revision of the key's last change; 0 if it does not exist."""
        _, version = self.values.get(key, (None, 0))
        return version

    def is_current(self) -> bool:
        """Return whether the mirror is recent enough to start new work.

        Running work continues while the controller's lease lasts. A start based on a stale mirror,
        however, may be of a job that its user has cancelled, so a controller that is partitioned
        from the state service or was frozen starts nothing.
        """
        return self.age_s() < self.timeouts.mirror_max_age_s

    def age_s(self) -> float:
        """Return the seconds since the mirror was last known to be up to date."""
        return self.clock.seconds() - self.current_as_of

    @property
    def leader(self) -> str | None:
        """The current leader; None while there is none."""
        record = self.value(keys.LEADER_KEY)
        return str(record.get("name")) if isinstance(record, dict) else None

    def holder_of(self, machine: str) -> tuple[str, int] | None:
        """Return the holder of the machine and its fencing token, or None if there is none."""
        shard = self.shards.get(self.shard_of.get(machine, ""))
        return (shard.holder, shard.fencing_token) if shard else None

    def fencing_token_of(self, machine: str) -> int:
        """Return the fencing token of the machine's shard; 0 if it is in none."""
        holder = self.holder_of(machine)
        return holder[1] if holder is not None else 0

    def partition_condition(self, partition: str) -> dict[str, int]:
        """Return the transaction condition that the partition's record is as in the mirror."""
        record = self.partitions.get(partition)
        return {keys.partition_key(partition): record.version if record else 0}

    def is_cancelled(self, job: str) -> bool:
        """Return whether the job's user has cancelled it."""
        return job in self.cancelled or job in self.announced_cancellations

    def all_members_run(self, release: int) -> bool:
        """Return whether every controller in the settings runs this release or a newer one.

        This is read from each controller's fence, even while the controller is down: it restarts
        with the release with which it last registered.
        """
        return all(
            stored_release(self.value(keys.fence_key(member))) >= release
            for member in self.known_members
        )

    def last_possible_answer_at(self, machine: str, previous_holder_may_act: bool) -> float:
        """Return the latest time at which a previous holder may have answered the machine's worker.

        The worker's own lease starts to run out at that time unless another controller answers it.
        """
        now = self.clock.seconds()
        if previous_holder_may_act:
            # It may not have observed yet that it was replaced, and may act until its own
            # lease ends.
            return now + self.timeouts.registration_lease_s
        previous = self.previous_holders.get(machine, self.own_name)
        if previous != self.own_name and previous not in self.members:
            # It stopped acting before its registration lease ended, which this process observed at
            # the recorded time.
            return min(self._lease_ended_at.get(previous, now), now)
        return now

    # -- following the state service

    async def load(self) -> None:
        """Read all control records.

        Raises StateUnavailableError if the state service can't be read.
        """
        sent_at = self.clock.seconds()
        items, revision = await self.state.scan(keys.CONTROL_PREFIX, RequestPriority.URGENT)
        self._replace_all(items, revision)
        self._advance_revision(revision)
        self.current_as_of = sent_at

    def _replace_all(self, items: list[KeyValue], revision: int) -> None:
        stored = {item.key: (item.value, item.version) for item in items}
        for key in [key for key in self.values if key not in stored]:
            self._apply(key, None, revision)
        for key, (value, version) in stored.items():
            if self.version(key) != version:
                self._apply(key, value, version)

    async def watch_until(self, is_over: Callable[[], bool]) -> None:
        """Watch the control records and apply their changes, until `is_over()`."""
        while not is_over():
            try:
                await self._watch_once(is_over)
            except CompactedError:
                try:
                    await self.load()
                except StateUnavailableError:
                    await sleep(self.clock, self.timeouts.retry_delay_s)
            except StateUnavailableError as error:
                log.info("watching the control records failed, will retry: {error}", error=error)
                await sleep(self.clock, self.timeouts.retry_delay_s)

    async def _watch_once(self, is_over: Callable[[], bool]) -> None:
        sent_at = self.clock.seconds()
        events, revision = await self.state.watch(
            keys.CONTROL_PREFIX, self.revision, self.timeouts.watch_hold_s
        )
        if is_over():
            return
        for event in events:
            self._apply_event(event)
        self._advance_revision(revision)
        self.current_as_of = sent_at

    def _apply_event(self, event: WatchEvent) -> None:
        if event.put is not None:
            self.observe(event.put, event.value, event.version)
        elif event.drop is not None:
            self._apply(event.drop, None, event.version)

    def _advance_revision(self, revision: int) -> None:
        """Record that the mirror contains all changes up to this revision.

        Must be called after the changes are applied, because a machine controller relies on the
        mirror being complete up to its revision when it determines which machines it holds.
        """
        self.revision = max(self.revision, revision)
        stored = [job for job, at in self.announced_cancellations.items() if at <= self.revision]
        for job in stored:
            del self.announced_cancellations[job]

    def observe(self, key: str, value: Any, version: int) -> None:
        """Apply a control record that was written or read independently of the watch."""
        known_version = max(self.version(key), self._removed.get(key, 0))
        if version > known_version:
            self._apply(key, value, version)

    def observe_cancellations(self, jobs: dict[str, int]) -> None:
        """Apply cancellations that a peer has stored, given with the revisions of their writes.

        They are received even while this controller can't reach the state service. A stored
        cancellation is final, so it takes effect without a read. Those up to the mirror's revision
        are ignored: either the mirror contains them, or their jobs have finished and the marks
        were removed.
        """
        for job, revision in jobs.items():
            if revision > self.revision and not self.is_cancelled(job):
                self.announced_cancellations[job] = revision
                self._notify(keys.cancellation_key(job))

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
        """Remove a key; return False if it does not exist or was written after this removal."""
        if key not in self.values or self.version(key) > version:
            return False
        del self.values[key]
        # The response to a write of this controller may arrive after the watch has returned the
        # removal of the key.
        self._removed[key] = version
        while len(self._removed) > MAX_REMEMBERED_REMOVALS:
            del self._removed[next(iter(self._removed))]
        return True

    def _index(self, key: str, value: Any, version: int) -> None:
        """Update the indexes derived from this kind of record; raise if the record is malformed."""
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
            self._raise_fencing_tokens(name)

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
        previous = self.partitions.pop(name, None)
        if value is None:
            return
        owner = str(value["owner"])
        keeps_owner = previous is not None and previous.owner == owner
        owned_since = previous.owned_since if previous and keeps_owner else version
        self.partitions[name] = JobPartition(owner, version, owned_since)

    def _index_shard(self, name: str, value: Any, version: int) -> None:
        previous = self.shards.pop(name, None)
        old_holders = (
            {machine.name: previous.holder for machine in previous.machines} if previous else {}
        )
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
        fence_version = self.version(keys.fence_key(shard.holder))
        shard.fencing_token = max(shard.record_fencing_token, fence_version)
        self.shards[name] = shard
        for machine in shard.machines:
            self.shard_of[machine.name] = name
            old_holder = old_holders.get(machine.name, shard.holder)
            if old_holder != shard.holder:
                self.previous_holders[machine.name] = old_holder

    def _raise_fencing_tokens(self, member: str) -> None:
        """Raise the tokens of a member's shards after its fence was written.

        A fence is written by a new incarnation of the member, or by the leader. For this
        controller's own shards, listeners are notified even if the token stays the same: a shard
        that was leased between this controller's registration and the read that follows it is
        applied before the controller's fence, and could not be held at that time.
        """
        fence_version = self.version(keys.fence_key(member))
        for name, shard in self.shards.items():
            if shard.holder != member:
                continue
            token = max(shard.record_fencing_token, fence_version)
            if token != shard.fencing_token or member == self.own_name:
                shard.fencing_token = token
                self._notify(keys.shard_key(name))
