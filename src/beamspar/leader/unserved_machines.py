"""Machines whose workers are not answered by their holder and turn to other members."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from beamspar.cluster.state_mirror import StateMirror
from beamspar.leader.member_reachability import MemberReachability
from beamspar.leader.member_view import MemberView
from beamspar.leader.shard_distribution import ShardMove
from beamspar.state.control_records import MachineShard
from beamspar.timeouts import Timeouts


class UnservedMachines:
    """Finds the shards that should go to the members which their machines' workers reach.

    A controller cut off with its zone is not dead before its registration lease ends, and one
    that lost only its workers not at all, but the workers' leases end sooner. A live move is
    safe without its knowing. A crashed one, whose address refuses, is left to come back.
    """

    def __init__(
        self,
        mirror: StateMirror,
        timeouts: Timeouts,
        members: Mapping[str, MemberView],
        reachability: MemberReachability,
        excluded: Callable[[], set[str]],
    ) -> None:
        self.mirror = mirror
        self.timeouts = timeouts
        self.members = members
        self.reachability = reachability
        # Members that get no shards, for they are leaving.
        self.excluded = excluded

    def choose_moves(self) -> list[ShardMove]:
        """Moves of shards whose holder the leader does not reach, or that lost its machines.

        Holders of the latter kind get no shards for a while.
        """
        targets: dict[str, str] = {}
        cut_off = self.reachability.cut_off_members()
        for member in sorted(self.reachability.reachable_members() - self.excluded()):
            for machine in self.members[member].unserved:
                shard_name = self.mirror.shard_of.get(machine, "")
                shard = self.mirror.shards.get(shard_name)
                if shard is None or shard.holder == member:
                    continue
                if self._should_move(machine, shard, cut_off):
                    targets.setdefault(shard_name, member)
        return [
            ShardMove(name, self.mirror.shards[name].holder, target)
            for name, target in targets.items()
        ]

    def _should_move(self, machine: str, shard: MachineShard, cut_off: set[str]) -> bool:
        if self.reachability.is_unreachable(shard.holder):
            return True
        if shard.holder not in cut_off or not self._is_silent(machine, shard.holder):
            # Not for one machine alone: that one may receive nobody's answers, and would be
            # moved from one to the next for ever.
            return False
        self.reachability.mark_cut_off(shard.holder)
        return True

    def _is_silent(self, machine: str, holder: str) -> bool:
        """Has the holder not heard the machine for longer than it is waited for?"""
        member = self.members.get(holder)
        view, _ = member.machines.get(machine, (None, 0.0)) if member else (None, 0.0)
        return view is not None and view.silent_s > self.timeouts.out_of_reach
