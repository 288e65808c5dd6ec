"""Orderly leave of a controller: it hands over leadership and shards, and may then be stopped.

The leaving controllers are stored in one record that is changed by compare-and-swap, so of two
controllers that leave at the same time the second observes the first, and a leave of the last
serving controller is refused. An entry names the incarnation that leaves, so a restarted controller
serves again.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.leader import Leader
from beamspar.sharing.messages import CommandReply
from beamspar.state import keys
from beamspar.state.client import StateClient
from beamspar.state.errors import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateUnavailableError,
)
from beamspar.state.messages import put
from beamspar.state.request_queue import RequestPriority
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

log = Logger(namespace="sharing")

# Attempts to change the record while other controllers change it concurrently.
ATTEMPTS_PER_MEMBER = 2
# How long a leaving controller reports itself unhealthy before it ends its registration, in worker
# heartbeats: the load balancer needs some time to stop sending users to it.
MIN_UNHEALTHY_HEARTBEATS = 3


def leaving_members(registration: Registration) -> set[str]:
    """Return the controllers that the mirror shows as leaving; none if all members are."""
    leaving = set(_entries(registration)) & registration.mirror.members
    return leaving if registration.mirror.members - leaving else set()


def _entries(registration: Registration) -> dict[str, int]:
    """Return the entries of the record that name the current incarnation of a controller."""
    value, _ = registration.mirror.values.get(keys.LEAVING_MEMBERS_KEY, ({}, 0))
    entries = {}
    for member, incarnation in (_decode(value) or {}).items():
        fence, _ = registration.mirror.values.get(keys.fence_key(member), ({}, 0))
        if fence.get("inc") == incarnation:
            entries[member] = incarnation
    return entries


def _decode(value: object) -> dict[str, int] | None:
    """Return the record's entries; None if it is malformed."""
    try:
        return msgspec.convert(value, dict[str, int])
    except msgspec.ValidationError:
        return None


class Leave:
    """Takes this controller out of the service, step by step."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        state: StateClient,
        leader: Leader,
        timeouts: Timeouts,
        resign: Callable[[], Awaitable[None]],
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.state = state
        self.leader = leader
        self.timeouts = timeouts
        self.resign = resign
        self.leaving_since: float | None = None
        registration.mirror.listeners.append(self._record_changed)

    def _record_changed(self, key: str) -> None:
        value, _ = self.mirror.values.get(keys.LEAVING_MEMBERS_KEY, ({}, 0))
        if key == keys.LEAVING_MEMBERS_KEY and _decode(value) is None:
            log.error(
                "malformed record {key}, treated as empty: {value}",
                key=keys.LEAVING_MEMBERS_KEY,
                value=value,
            )

    def is_leaving(self) -> bool:
        """Return whether this controller is leaving."""
        return self.registration.own_name in leaving_members(self.registration)

    async def request(self, undo: bool) -> CommandReply:
        """Begin to leave the service, or with `undo` serve again."""
        for _ in range(len(self.mirror.known_members) * ATTEMPTS_PER_MEMBER):
            if not self.registration.is_lease_valid():
                return CommandReply(False, "this controller is not registered at present")
            entries = _entries(self.registration)
            if (self.registration.own_name in entries) != undo:
                return CommandReply(True)
            others = self.mirror.members - set(entries) - {self.registration.own_name}
            if not undo and not others:
                return CommandReply(False, "no other controller would serve")
            try:
                await self._store(entries, undo, others)
            except ConflictError as error:
                log.info(
                    "conflict in the record of leaving controllers, reading it again: {failed}",
                    failed=error.failed,
                )
                await self._refresh_record()
            except OutcomeUnknownError as error:
                return CommandReply(False, f"not known yet, see `shares`: {error}")
            except (StateUnavailableError, LeaseExpiredError) as error:
                return CommandReply(False, str(error))
            else:
                log.info(
                    "{me} {what}",
                    me=self.registration.own_name,
                    what="serves again" if undo else "begins to leave the service",
                )
                return CommandReply(True)
        return CommandReply(False, "the record keeps changing: try again")

    async def _store(self, entries: dict[str, int], undo: bool, others: set[str]) -> None:
        version = self.mirror.version(keys.LEAVING_MEMBERS_KEY)
        conditions = {keys.LEAVING_MEMBERS_KEY: version, **self.registration.fence_condition()}
        if undo:
            del entries[self.registration.own_name]
        else:
            entries[self.registration.own_name] = self.registration.incarnation
            # Ensures that one of the controllers that keep serving is registered when the write
            # is applied.
            key = keys.member_key(min(others))
            conditions[key] = self.mirror.version(key)
        revision = await self.state.transact(
            conditions, [put(keys.LEAVING_MEMBERS_KEY, entries)], RequestPriority.URGENT
        )
        self.mirror.observe(keys.LEAVING_MEMBERS_KEY, entries, revision)

    async def _refresh_record(self) -> None:
        """Read the record again after a conflict, as the mirror may lag behind."""
        item = await self.state.get(keys.LEAVING_MEMBERS_KEY, RequestPriority.URGENT)
        if item is not None:
            self.mirror.observe(keys.LEAVING_MEMBERS_KEY, item.value, item.version)

    async def step(self) -> None:
        """Take the next step of a leave.

        The steps are: give up leadership, wait until the shards have moved away, and end the
        registration. Raises what `resign` raises.
        """
        if not self.is_leaving():
            self.leaving_since = None
            return
        now = self.clock.seconds()
        self.leaving_since = now if self.leaving_since is None else self.leaving_since
        if self.leader.is_leading:
            try:
                await self.leader.step_down()
            except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
                log.info("failed to give up leadership, will retry: {error}", error=error)
            return
        if any(shard.holder == self.registration.own_name for shard in self.mirror.shards.values()):
            return
        if (
            now - self.leaving_since
            < self.timeouts.worker_heartbeat_interval_s * MIN_UNHEALTHY_HEARTBEATS
            or not self.registration.is_lease_valid()
        ):
            return
        # Some other controller must be reachable: being registered is not enough, as a controller
        # whose process has just ended stays registered until its lease expires.
        serving = self.mirror.members - leaving_members(self.registration)
        if any(self.leader.shard_leasing.unreachable_since(member) is None for member in serving):
            await self.resign()
