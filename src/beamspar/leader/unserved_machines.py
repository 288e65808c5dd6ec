"""Machines whose holder does not answer their workers, which turn to other members."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from beamspar.cluster.state_mirror import StateMirror
from beamspar.leader.member_reachability import MemberReachability
from beamspar.leader.member_view import MemberView
from beamspar.leader.shard_distribution import ShardMove
from beamspar.state.control_records import MachineShard
from beamspar.timeouts import Timeouts


class UnservedMachines:
    """Finds the shards that should move to members that their workers can reach.

    A controller that is cut off together with its zone is not dead until its registration lease
    expires, and one that lost only its workers never is, but the leases of the workers expire
    sooner. Moving a shard of a live holder is safe even if that holder does not observe the move.
    A crashed controller, whose address refuses connections, keeps its shards so that it can
    come back.
    """

    def __init__(
        self,
        mirror: StateMirror,
        timeouts: Timeouts,
        members: Mapping[str, MemberView],
        reachability: MemberReachability,
        excluded_members: Callable[[], set[str]],
    ) -> None:
        self.mirror = mirror
        self.timeouts = timeouts
        self.members = members
        self.reachability = reachability
        # Returns the members that get no shards because they are leaving.
        self.excluded_members = excluded_members

    def choose_moves(self) -> list[ShardMove]:
        """Return moves of shards whose holder is unreachable, or cut off from its machines.

        A holder that is cut off from its machines gets no shards for a while.
        """
        targets: dict[str, str] = {}
        cut_off = self.reachability.cut_off_members()
        for member in sorted(self.reachability.reachable_members() - self.excluded_members()):
            for machine in self.members[member].unserved_machines:
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
            # A single silent machine is no reason to move its shard: its worker may be unable to
            # receive replies from any member, and the shard would be moved from one member to the
            # next forever.
            return False
        self.reachability.mark_cut_off(shard.holder)
        return True

    def _is_silent(self, machine: str, holder: str) -> bool:
        """Return whether the machine is silent at its holder for longer than the timeout."""
        member = self.members.get(holder)
        status, _ = member.machines.get(machine, (None, 0.0)) if member else (None, 0.0)
        return status is not None and status.silent_s > self.timeouts.unreachable_timeout_s
