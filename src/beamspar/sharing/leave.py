"""Leaving the service in order: lead and blocks are handed over, then the process may be stopped.

Who leaves is stored in one record, changed by compare-and-set: of two controllers that leave at
once, the second one sees the first, and the last one that serves is refused. An entry names the
incarnation that leaves, so a controller that is started again takes part again.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec
from twisted.logger import Logger

from beamspar.cluster.registration import Session
from beamspar.leader.leader import Leader
from beamspar.settings import Timing
from beamspar.sharing.messages import CommandReply
from beamspar.state.client import (
    URGENT,
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateClient,
    StateUnavailableError,
    put,
)
from beamspar.transport.http import Clock

log = Logger(namespace="sharing")

LEAVING = "c/leaving"
# How often a change of the record is tried again after another one's.
TRIES = 3
# How long a leaving controller says that it is not healthy before it ends its registration, in
# reports: the load balancer needs some of them to turn users away.
LEAST_REPORTS = 3

SERVING, LEAVES, LEFT = "serving", "leaving", "left"


def leaving_members(session: Session) -> set[str]:
    """Controllers that are leaving, by the mirror; nobody if then no one would serve."""
    leaving = set(_entries(session)) & session.members
    return leaving if session.members - leaving else set()


def _entries(session: Session) -> dict[str, int]:
    """The entries of the record that speak of a present incarnation."""
    value, _ = session.values.get(LEAVING, ({}, 0))
    found = {}
    for member, incarnation in (_read(value) or {}).items():
        fence, _ = session.values.get(f"c/fence/{member}", ({}, 0))
        if fence.get("inc") == incarnation:
            found[member] = incarnation
    return found


def _read(value: object) -> dict[str, int] | None:
    """The record's entries; None if it is damaged."""
    try:
        return msgspec.convert(value, dict[str, int])
    except msgspec.ValidationError:
        return None


class Leave:
    """Takes this controller out of the service, step by step."""

    def __init__(
        self,
        clock: Clock,
        session: Session,
        state: StateClient,
        leader: Leader,
        timing: Timing,
        resign: Callable[[], Awaitable[None]],
    ) -> None:
        self.clock = clock
        self.session = session
        self.state = state
        self.leader = leader
        self.timing = timing
        self.resign = resign
        self.since: float | None = None
        session.listeners.append(self._changed)

    def _changed(self, key: str) -> None:
        value, _ = self.session.values.get(LEAVING, ({}, 0))
        if key == LEAVING and _read(value) is None:
            log.error("odd record {key}: {value}", key=LEAVING, value=value)

    def is_leaving(self) -> bool:
        """Does this controller hand everything over?"""
        return self.session.me in leaving_members(self.session)

    async def request(self, undo: bool) -> CommandReply:
        """Begin to leave, or serve on."""
        for _ in range(TRIES):
            if not self.session.valid():
                return CommandReply(False, "this controller is not registered at present")
            entries = _entries(self.session)
            if (self.session.me in entries) != undo:
                return CommandReply(True)
            others = self.session.members - set(entries) - {self.session.me}
            if not undo and not others:
                return CommandReply(False, "no other controller would serve")
            try:
                await self._store(entries, undo, others)
            except ConflictError as error:
                log.info("leave is tried again: {failed}", failed=error.failed)
                await self._catch_up()
            except OutcomeUnknownError as error:
                return CommandReply(False, f"not known yet, see `shares`: {error}")
            except (StateUnavailableError, LeaseExpiredError) as error:
                return CommandReply(False, str(error))
            else:
                log.info("{me} {what}", me=self.session.me, what="stays" if undo else "leaves")
                return CommandReply(True)
        return CommandReply(False, "the record keeps changing: try again")

    async def _store(self, entries: dict[str, int], undo: bool, others: set[str]) -> None:
        _, version = self.session.values.get(LEAVING, (None, 0))
        conditions = {LEAVING: version, **self.session.fence()}
        if undo:
            del entries[self.session.me]
        else:
            entries[self.session.me] = self.session.inc
            # Somebody who serves is registered at the moment of the write.
            key = f"c/member/{min(others)}"
            conditions[key] = self.session.values.get(key, (None, 0))[1]
        revision = await self.state.multi(conditions, [put(LEAVING, entries)], URGENT)
        self.session.learn(LEAVING, entries, revision)

    async def _catch_up(self) -> None:
        """Read the record that another one changed; the mirror may be late."""
        item = await self.state.get(LEAVING, URGENT)
        if item is not None:
            self.session.learn(LEAVING, item.value, item.version)

    async def step(self) -> None:
        """Do what is next: give up the lead, wait for the blocks to go, end the registration."""
        if not self.is_leaving():
            self.since = None
            return
        now = self.clock.seconds()
        self.since = now if self.since is None else self.since
        if self.leader.leading:
            try:
                await self.leader.give_up()
            except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
                log.info("the lead is not given up yet: {error}", error=error)
            return
        if any(block.holder == self.session.me for block in self.session.blocks.values()):
            return
        if now - self.since < self.timing.report * LEAST_REPORTS or not self.session.valid():
            return
        # Registered is not enough: others that ended a moment ago are so until their grants end.
        serving = self.session.members - leaving_members(self.session)
        if any(self.leader.leasing.unreached(member) is None for member in serving):
            await self.resign()
