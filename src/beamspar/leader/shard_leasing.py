"""Who holds which block: new machines are leased, the dead replaced, blocks moved and dropped."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.logger import Logger

from beamspar.cluster.registration import BLOCK, PARTITION, Block, Machine, Session, block_record
from beamspar.leader.instance_manager import Fleet
from beamspar.leader.member_view import MemberView
from beamspar.leader.shard_writer import BlockWriter
from beamspar.protocol.peer_messages import View
from beamspar.settings import Settings, Timing, Tuning
from beamspar.state.client import ConflictError, LeaseExpiredError, StateUnavailableError, put
from beamspar.transport.http import Clock

log = Logger(namespace="leader")

# Bytes that one machine takes in a block's record, with room to spare.
MACHINE_BYTES = 160


class Leasing:
    """Owns the decisions on blocks while this controller leads, one pass at a time."""

    def __init__(
        self,
        clock: Clock,
        session: Session,
        blocks: BlockWriter,
        fleet: Fleet,
        settings: Settings,
        timing: Timing,
        tuning: Tuning,
        members: dict[str, MemberView],
        views: Callable[[], list[View]],
    ) -> None:
        self.clock = clock
        self.session = session
        self.blocks = blocks
        self.fleet = fleet
        self.settings = settings
        self.timing = timing
        self.tuning = tuning
        # What the members' heartbeats add up to; owned by the leader.
        self.members = members
        self.views = views
        self.sites = {s.member: s.site for s in settings.siblings}
        self.sites[settings.member] = settings.site
        self.running = False
        # Machines whose workers reported and that are in no block, and when.
        self.seen: dict[str, tuple[Machine, float]] = {}
        # Members that lost their workers, and until when they get no blocks.
        self.blind: dict[str, float] = {}
        # Since when a sibling does not answer us, None when it does.
        self.unreached: Callable[[str], float | None] = lambda member: None
        # Members that get no blocks, for they are leaving.
        self.excluded: Callable[[], set[str]] = lambda: set()
        # Moves blocks between the living.
        self.balance: Callable[[], Awaitable[None]] = self._rebalance

    async def run(self, led_for_s: float) -> None:
        """One pass over everything that is to be leased, moved or dropped."""
        try:
            await self._fail_over_dead()
            await self._lease_new(led_for_s)
            await self._drop_returned()
            await self.balance()
            await self._move_unserved()
        except ConflictError as error:
            log.info("leasing again: {failed}", failed=error.failed)
        except (StateUnavailableError, LeaseExpiredError) as error:
            log.info("leasing waits: {error}", error=error)
        finally:
            self.running = False

    def pick_holder(self, zone: str, counts: dict[str, int]) -> str:
        """Prefer a controller in the machine's zone: a cut leaves them together."""
        return min(counts, key=lambda m: (self.sites.get(m) != zone, counts[m], m))

    def counts(self) -> dict[str, int]:
        """How many machines each live member holds, of those that may get more."""
        counts = dict.fromkeys(self.session.members - self.excluded(), 0)
        for block in self.session.blocks.values():
            if block.holder in counts:
                counts[block.holder] += len(block.machines)
        return counts

    async def _fail_over_dead(self) -> None:
        """A member whose grant ended is fenced out first; then its work goes on elsewhere."""
        owners = {f.owner for f in self.session.partitions.values()}
        holders = {b.holder for b in self.session.blocks.values()}
        for dead in sorted((owners | holders) - self.session.members):
            fence_key = f"c/fence/{dead}"
            old, version = self.session.values.get(fence_key, ({}, 0))
            terms = {f"c/member/{dead}": 0}
            if not old.get("dead"):
                # What else its fence says stays: its release is known beyond its death.
                value = {**old, "inc": int(old.get("inc", 0)) + 1, "dead": True}
                revision = await self.blocks.commit(
                    {**terms, fence_key: version}, [put(fence_key, value)]
                )
                self.session.learn(fence_key, value, revision)
                log.warn("{dead} is dead: its jobs and blocks move", dead=dead)
            changes: list[tuple[str, Any]] = []
            counts = self.counts()
            if not counts:
                return
            successors = sorted(counts)
            for index, (name, partition) in enumerate(sorted(self.session.partitions.items())):
                if partition.owner == dead:
                    successor = successors[index % len(successors)]
                    changes.append((PARTITION + name, {"owner": successor}))
            for name, block in self.session.blocks.items():
                if block.holder == dead:
                    zone = block.machines[0].zone if block.machines else ""
                    successor = self.pick_holder(zone, counts)
                    counts[successor] += len(block.machines)
                    value = block_record(successor, block.machines, self._still_live(dead, block))
                    changes.append((BLOCK + name, value))
            await self.blocks.write(changes, terms)

    def _still_live(self, holder: str, block: Block) -> bool:
        """May one from before this holder still act there? Not once its workers know better."""
        member = self.members.get(holder)
        for machine in block.machines if block.live else ():
            view, _ = member.machines.get(machine.name, (None, 0.0)) if member else (None, 0.0)
            if view is None or not view.fresh or view.number < block.base:
                return True
        return False

    def saw(self, machine: Machine) -> None:
        """A worker without a holder reported somewhere."""
        if machine.name not in self.fleet.returned:
            self.seen[machine.name] = (machine, self.clock.seconds())

    def _block_size(self, new: int) -> int:
        """So many machines that one transaction moves about all of a controller's blocks."""
        facts, limits = self.settings.facts, self.blocks.limits
        # The cloud's list may be late or out of reach: what reports is there as well.
        fleet = max(self.fleet.counted, len(self.session.block_of) + new)
        fitting = int(limits.value_kb * 1024 / 2 / MACHINE_BYTES)
        size = -(-fleet // (max(facts.nodes, 1) * limits.txn_ops))
        return max(min(self.tuning.block_size or size, fitting), 1)

    async def _lease_new(self, led_for_s: float) -> None:
        if not self.fleet.listed and led_for_s < self.timing.report * 2:
            # How large the fleet is decides how large blocks are.
            return
        new = [
            m
            for m, _ in self.seen.values()
            if m.name not in self.session.block_of and m.name not in self.fleet.returned
        ]
        self.seen.clear()
        if not new:
            return
        counts = self.counts()
        size = self._block_size(len(new))
        groups: dict[tuple[str, str, bool], list[Machine]] = {}
        for machine in sorted(new, key=lambda m: m.name):
            self.fleet.up(machine.name)
            groups.setdefault((machine.zone, machine.kind, machine.spot), []).append(machine)
        changes: list[tuple[str, Any]] = []
        for (zone, kind, _), machines in groups.items():
            for low in range(0, len(machines), size):
                part = machines[low : low + size]
                holder = self.pick_holder(zone, counts)
                counts[holder] += len(part)
                value = block_record(holder, part)
                changes.append((BLOCK + self.blocks.free_name(part[0].name), value))
                log.info(
                    "leasing {names} ({kind}, {zone}) to {holder}",
                    names=[m.name for m in part],
                    kind=kind,
                    zone=zone,
                    holder=holder,
                )
        await self.blocks.write(changes)

    async def _drop_returned(self) -> None:
        """The cloud has confirmed these are gone: without a block their tasks are too."""
        changes: list[tuple[str, Any]] = []
        for name, block in self.session.blocks.items():
            left = [m for m in block.machines if m.name not in self.fleet.returned]
            if len(left) == len(block.machines):
                continue
            if left:
                value = block_record(block.holder, left, block.live, block.number)
                changes.append((BLOCK + name, value))
            else:
                changes.append((BLOCK + name, None))
        if changes:
            await self.blocks.write(changes)

    def out_of_reach(self, member: str) -> bool:
        """Have our calls to the member failed for longer than it is waited for?"""
        since = self.unreached(member)
        return since is not None and self.clock.seconds() - since > self.timing.out_of_reach

    def heard(self) -> set[str]:
        """Live members that this leader and its workers can be expected to reach."""
        now = self.clock.seconds()
        return {
            m
            for m in self.session.members
            if m in self.members and now - self.members[m].heard_at < self.timing.report
        }

    async def _rebalance(self) -> None:
        """Move blocks to live controllers that came back with none, their zone's first.

        A few at a time: the new holder must reach each worker before it can start there.
        """
        now = self.clock.seconds()
        # One that its workers could not reach a moment ago gets nothing yet.
        able = {m for m in self.heard() if self.blind.get(m, 0.0) < now}
        counts = {m: n for m, n in self.counts().items() if m in able}
        if len(counts) < 2:
            return
        fair = sum(counts.values()) / len(counts)
        changes: list[tuple[str, Any]] = []
        for name, block in self.session.blocks.items():
            if block.holder not in counts or not block.machines:
                continue
            zone, size = block.machines[0].zone, len(block.machines)
            successor = self.pick_holder(zone, counts)
            home = self.sites.get(successor) == zone
            if successor == block.holder or (home and self.sites.get(block.holder) == zone):
                # Within a zone, or without one of its own, only a clear imbalance counts.
                successor = min(counts, key=lambda m: (counts[m], m))
                if home and self.sites.get(successor) != zone:
                    continue
                home = False
            if not home and counts[block.holder] - counts[successor] < max(fair / 4, 3 * size):
                continue
            counts[block.holder] -= size
            counts[successor] += size
            log.info("moving {name} from {a} to {b}", name=name, a=block.holder, b=successor)
            changes.append((BLOCK + name, block_record(successor, block.machines, live=True)))
            if len(changes) >= max(self.blocks.limits.txn_ops // 4, 1):
                break
        if changes:
            await self.blocks.write(changes)

    async def _move_unserved(self) -> None:
        """Machines whose holder we don't hear, or that it does not hear, go to whom they come to.

        A controller cut off with its zone is not dead before its grant ends, and one that
        lost only its workers not at all, but the workers' leases end sooner. A live move
        is safe without its knowing. A crashed one, whose address refuses, is left to come
        back.
        """
        now = self.clock.seconds()
        found: dict[str, str] = {}
        deaf = self.cut_off_members()
        for member in sorted(self.heard() - self.excluded()):
            for name in self.members[member].unserved:
                block = self.session.blocks.get(self.session.block_of.get(name, ""))
                if block is None or block.holder == member:
                    continue
                holder = self.members.get(block.holder)
                view, _ = holder.machines.get(name, (None, 0.0)) if holder else (None, 0.0)
                if self.out_of_reach(block.holder):
                    found.setdefault(self.session.block_of[name], member)
                elif block.holder in deaf and view and view.silent_s > self.timing.out_of_reach:
                    # Not for one machine alone: that one may hear nobody's answers, and
                    # would go round for ever.
                    self.blind[block.holder] = now + self.timing.worker_lease * 2
                    found.setdefault(self.session.block_of[name], member)
        changes: list[tuple[str, Any]] = []
        for name, member in found.items():
            block = self.session.blocks[name]
            log.info("moving {name}, a stray of {a}, to {b}", name=name, a=block.holder, b=member)
            changes.append((BLOCK + name, block_record(member, block.machines, live=True)))
        if changes:
            await self.blocks.write(changes)

    def cut_off_members(self) -> set[str]:
        """Members that hear few of their machines: they have lost them, not they their power."""
        held: dict[str, int] = {}
        quiet: dict[str, int] = {}
        for view in self.views():
            member = (self.session.holder_of(view.room.name) or ("", 0))[0]
            held[member] = held.get(member, 0) + 1
            quiet[member] = quiet.get(member, 0) + (view.silent_s > self.timing.silent / 2)
        now = self.clock.seconds()
        known = {m for m, until in self.blind.items() if until > now}
        return known | {m for m, n in held.items() if n > 2 and quiet[m] * 2 > n}
