"""Who holds which block: new machines are leased, the dead replaced, blocks moved and dropped."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.leader.instance_manager import InstanceManager
from beamspar.leader.member_view import MemberView
from beamspar.leader.shard_writer import ShardWriter
from beamspar.protocol.peer_messages import MachineStatus
from beamspar.settings import OperatorSettings, Settings, Timeouts
from beamspar.state import keys
from beamspar.state.client import ConflictError, LeaseExpiredError, StateUnavailableError, put
from beamspar.state.control_records import Machine, MachineShard, shard_record
from beamspar.transport.http import Clock

log = Logger(namespace="leader")

# Bytes that one machine takes in a block's record, with room to spare.
MACHINE_BYTES = 160


class ShardLeasing:
    """Owns the decisions on blocks while this controller leads, one pass at a time."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        shard_writer: ShardWriter,
        instance_manager: InstanceManager,
        settings: Settings,
        timeouts: Timeouts,
        operator_settings: OperatorSettings,
        members: dict[str, MemberView],
        views: Callable[[], list[MachineStatus]],
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.shard_writer = shard_writer
        self.instance_manager = instance_manager
        self.settings = settings
        self.timeouts = timeouts
        self.operator_settings = operator_settings
        # What the members' heartbeats add up to; owned by the leader.
        self.members = members
        self.views = views
        self.sites = {s.member: s.site for s in settings.peers}
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
        counts = dict.fromkeys(self.mirror.members - self.excluded(), 0)
        for shard in self.mirror.shards.values():
            if shard.holder in counts:
                counts[shard.holder] += len(shard.machines)
        return counts

    async def _fail_over_dead(self) -> None:
        """A member whose grant ended is fenced out first; then its work goes on elsewhere."""
        owners = {f.owner for f in self.mirror.partitions.values()}
        holders = {b.holder for b in self.mirror.shards.values()}
        for dead in sorted((owners | holders) - self.mirror.members):
            fence_key = keys.fence(dead)
            old, version = self.mirror.values.get(fence_key, ({}, 0))
            terms = {keys.member(dead): 0}
            if not old.get("dead"):
                # What else its fence says stays: its release is known beyond its death.
                value = {**old, "inc": int(old.get("inc", 0)) + 1, "dead": True}
                revision = await self.shard_writer.commit(
                    {**terms, fence_key: version}, [put(fence_key, value)]
                )
                self.mirror.observe(fence_key, value, revision)
                log.warn("{dead} is dead: its jobs and blocks move", dead=dead)
            changes: list[tuple[str, Any]] = []
            counts = self.counts()
            if not counts:
                return
            successors = sorted(counts)
            for index, (name, partition) in enumerate(sorted(self.mirror.partitions.items())):
                if partition.owner == dead:
                    successor = successors[index % len(successors)]
                    changes.append((keys.partition(name), {"owner": successor}))
            for name, shard in self.mirror.shards.items():
                if shard.holder == dead:
                    zone = shard.machines[0].zone if shard.machines else ""
                    successor = self.pick_holder(zone, counts)
                    counts[successor] += len(shard.machines)
                    value = shard_record(successor, shard.machines, self._still_live(dead, shard))
                    changes.append((keys.shard(name), value))
            await self.shard_writer.write(changes, terms)

    def _still_live(self, holder: str, shard: MachineShard) -> bool:
        """May one from before this holder still act there? Not once its workers know better."""
        member = self.members.get(holder)
        for machine in shard.machines if shard.previous_holder_may_act else ():
            view, _ = member.machines.get(machine.name, (None, 0.0)) if member else (None, 0.0)
            if view is None or not view.fresh or view.fencing_token < shard.record_fencing_token:
                return True
        return False

    def saw(self, machine: Machine) -> None:
        """A worker without a holder reported somewhere."""
        if machine.name not in self.instance_manager.returned:
            self.seen[machine.name] = (machine, self.clock.seconds())

    def _block_size(self, new: int) -> int:
        """So many machines that one transaction moves about all of a controller's blocks."""
        facts, limits = self.settings.platform, self.shard_writer.limits
        # The cloud's list may be late or out of reach: what reports is there as well.
        instance_manager = max(self.instance_manager.counted, len(self.mirror.shard_of) + new)
        fitting = int(limits.value_kb * 1024 / 2 / MACHINE_BYTES)
        size = -(-instance_manager // (max(facts.nodes, 1) * limits.txn_ops))
        return max(min(self.operator_settings.block_size or size, fitting), 1)

    async def _lease_new(self, led_for_s: float) -> None:
        if not self.instance_manager.listed and led_for_s < self.timeouts.report * 2:
            # How large the fleet is decides how large blocks are.
            return
        new = [
            m
            for m, _ in self.seen.values()
            if m.name not in self.mirror.shard_of and m.name not in self.instance_manager.returned
        ]
        self.seen.clear()
        if not new:
            return
        counts = self.counts()
        size = self._block_size(len(new))
        groups: dict[tuple[str, str, bool], list[Machine]] = {}
        for machine in sorted(new, key=lambda m: m.name):
            self.instance_manager.up(machine.name)
            groups.setdefault((machine.zone, machine.kind, machine.spot), []).append(machine)
        changes: list[tuple[str, Any]] = []
        for (zone, kind, _), machines in groups.items():
            for low in range(0, len(machines), size):
                part = machines[low : low + size]
                holder = self.pick_holder(zone, counts)
                counts[holder] += len(part)
                value = shard_record(holder, part)
                changes.append((keys.shard(self.shard_writer.free_name(part[0].name)), value))
                log.info(
                    "leasing {names} ({kind}, {zone}) to {holder}",
                    names=[m.name for m in part],
                    kind=kind,
                    zone=zone,
                    holder=holder,
                )
        await self.shard_writer.write(changes)

    async def _drop_returned(self) -> None:
        """The cloud has confirmed these are gone: without a block their tasks are too."""
        changes: list[tuple[str, Any]] = []
        for name, shard in self.mirror.shards.items():
            left = [m for m in shard.machines if m.name not in self.instance_manager.returned]
            if len(left) == len(shard.machines):
                continue
            if left:
                value = shard_record(
                    shard.holder, left, shard.previous_holder_may_act, shard.fencing_token
                )
                changes.append((keys.shard(name), value))
            else:
                changes.append((keys.shard(name), None))
        if changes:
            await self.shard_writer.write(changes)

    def out_of_reach(self, member: str) -> bool:
        """Have our calls to the member failed for longer than it is waited for?"""
        since = self.unreached(member)
        return since is not None and self.clock.seconds() - since > self.timeouts.out_of_reach

    def heard(self) -> set[str]:
        """Live members that this leader and its workers can be expected to reach."""
        now = self.clock.seconds()
        return {
            m
            for m in self.mirror.members
            if m in self.members and now - self.members[m].heard_at < self.timeouts.report
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
        for name, shard in self.mirror.shards.items():
            if shard.holder not in counts or not shard.machines:
                continue
            zone, size = shard.machines[0].zone, len(shard.machines)
            successor = self.pick_holder(zone, counts)
            home = self.sites.get(successor) == zone
            if successor == shard.holder or (home and self.sites.get(shard.holder) == zone):
                # Within a zone, or without one of its own, only a clear imbalance counts.
                successor = min(counts, key=lambda m: (counts[m], m))
                if home and self.sites.get(successor) != zone:
                    continue
                home = False
            if not home and counts[shard.holder] - counts[successor] < max(fair / 4, 3 * size):
                continue
            counts[shard.holder] -= size
            counts[successor] += size
            log.info("moving {name} from {a} to {b}", name=name, a=shard.holder, b=successor)
            changes.append(
                (
                    keys.shard(name),
                    shard_record(successor, shard.machines, previous_holder_may_act=True),
                )
            )
            if len(changes) >= max(self.shard_writer.limits.txn_ops // 4, 1):
                break
        if changes:
            await self.shard_writer.write(changes)

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
                shard = self.mirror.shards.get(self.mirror.shard_of.get(name, ""))
                if shard is None or shard.holder == member:
                    continue
                holder = self.members.get(shard.holder)
                view, _ = holder.machines.get(name, (None, 0.0)) if holder else (None, 0.0)
                if self.out_of_reach(shard.holder):
                    found.setdefault(self.mirror.shard_of[name], member)
                elif shard.holder in deaf and view and view.silent_s > self.timeouts.out_of_reach:
                    # Not for one machine alone: that one may hear nobody's answers, and
                    # would go round for ever.
                    self.blind[shard.holder] = now + self.timeouts.worker_lease * 2
                    found.setdefault(self.mirror.shard_of[name], member)
        changes: list[tuple[str, Any]] = []
        for name, member in found.items():
            shard = self.mirror.shards[name]
            log.info("moving {name}, a stray of {a}, to {b}", name=name, a=shard.holder, b=member)
            changes.append(
                (
                    keys.shard(name),
                    shard_record(member, shard.machines, previous_holder_may_act=True),
                )
            )
        if changes:
            await self.shard_writer.write(changes)

    def cut_off_members(self) -> set[str]:
        """Members that hear few of their machines: they have lost them, not they their power."""
        held: dict[str, int] = {}
        quiet: dict[str, int] = {}
        for view in self.views():
            member = (self.mirror.holder_of(view.room.name) or ("", 0))[0]
            held[member] = held.get(member, 0) + 1
            quiet[member] = quiet.get(member, 0) + (view.silent_s > self.timeouts.silent / 2)
        now = self.clock.seconds()
        known = {m for m, until in self.blind.items() if until > now}
        return known | {m for m, n in held.items() if n > 2 and quiet[m] * 2 > n}
