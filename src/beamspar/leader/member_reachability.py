"""Which members the leader reaches, and which have lost the machines that they hold."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from beamspar.cluster.state_mirror import StateMirror
from beamspar.leader.member_view import MemberView
from beamspar.protocol.peer_messages import MachineStatus
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# So few machines that are silent together tell nothing about their holder.
MAX_INCONCLUSIVE_MACHINES = 2
# For how long a member that lost its workers gets no shards, in workers' leases.
CUT_OFF_WORKER_LEASES = 2


class MemberReachability:
    """Owns what is known of members that were cut off from their workers a short while ago."""

    def __init__(
        self,
        clock: Clock,
        mirror: StateMirror,
        timeouts: Timeouts,
        members: Mapping[str, MemberView],
        views: Callable[[], list[MachineStatus]],
        unreachable_since: Callable[[str], float | None],
    ) -> None:
        self.clock = clock
        self.mirror = mirror
        self.timeouts = timeouts
        self.members = members
        self.views = views
        # Since when a peer does not answer this controller, None when it does.
        self.unreachable_since = unreachable_since
        # Members that lost their workers, and until when they get no shards.
        self.cut_off_until: dict[str, float] = {}

    def reachable_members(self) -> set[str]:
        """Live members that this leader and its workers can be expected to reach."""
        now = self.clock.seconds()
        return {
            m
            for m in self.mirror.members
            if m in self.members and now - self.members[m].heard_at < self.timeouts.report
        }

    def is_unreachable(self, member: str) -> bool:
        """Have our calls to the member failed for longer than it is waited for?"""
        since = self.unreachable_since(member)
        return since is not None and self.clock.seconds() - since > self.timeouts.out_of_reach

    def mark_cut_off(self, member: str) -> None:
        """The member's workers do not reach it: for a while it gets no shards."""
        lasts_s = self.timeouts.worker_lease * CUT_OFF_WORKER_LEASES
        self.cut_off_until[member] = self.clock.seconds() + lasts_s

    def was_cut_off(self, member: str) -> bool:
        """Could the member's workers not reach it a moment ago?"""
        return self.cut_off_until.get(member, 0.0) >= self.clock.seconds()

    def cut_off_members(self) -> set[str]:
        """Members that hear few of their machines: the network fails them, not the machines."""
        held: dict[str, int] = {}
        silent: dict[str, int] = {}
        for view in self.views():
            member = (self.mirror.holder_of(view.room.name) or ("", 0))[0]
            held[member] = held.get(member, 0) + 1
            silent[member] = silent.get(member, 0) + (view.silent_s > self.timeouts.silent / 2)
        now = self.clock.seconds()
        known = {m for m, until in self.cut_off_until.items() if until > now}
        return known | {
            m for m, n in held.items() if n > MAX_INCONCLUSIVE_MACHINES and silent[m] * 2 > n
        }
