"""Reachability of members from the leader, and from the machines that they hold."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from beamspar.cluster.state_mirror import StateMirror
from beamspar.leader.member_view import MemberView
from beamspar.protocol.peer_messages import MachineStatus
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock

# For a holder of this many machines or fewer, their silence is not enough to conclude that the
# holder is cut off.
MAX_INCONCLUSIVE_MACHINES = 2
# How long a member that was cut off from its workers gets no shards, in worker leases.
CUT_OFF_WORKER_LEASES = 2


class MemberReachability:
    """Tracks which members are reachable, and which were recently cut off from their workers."""

    def __init__(
        self,
        clock: Clock,
        mirror: StateMirror,
        timeouts: Timeouts,
        members: Mapping[str, MemberView],
        machine_statuses: Callable[[], list[MachineStatus]],
        unreachable_since: Callable[[str], float | None],
    ) -> None:
        self.clock = clock
        self.mirror = mirror
        self.timeouts = timeouts
        self.members = members
        self.machine_statuses = machine_statuses
        # Returns the time since which a peer has not answered this controller, None if it does.
        self.unreachable_since = unreachable_since
        # Members that were cut off from their workers, and until when they get no shards.
        self.cut_off_until: dict[str, float] = {}

    def reachable_members(self) -> set[str]:
        """Return the live members that this leader and the workers can be expected to reach."""
        now = self.clock.seconds()
        return {
            m
            for m in self.mirror.members
            if m in self.members
            and now - self.members[m].reported_at < self.timeouts.worker_heartbeat_interval_s
        }

    def is_unreachable(self, member: str) -> bool:
        """Return whether calls to the member have failed for longer than the allowed time."""
        since = self.unreachable_since(member)
        return (
            since is not None and self.clock.seconds() - since > self.timeouts.unreachable_timeout_s
        )

    def mark_cut_off(self, member: str) -> None:
        """Record that the member's workers do not reach it, so it gets no shards for a while."""
        duration_s = self.timeouts.worker_lease_s * CUT_OFF_WORKER_LEASES
        self.cut_off_until[member] = self.clock.seconds() + duration_s

    def was_cut_off(self, member: str) -> bool:
        """Return whether the member was recently cut off from its workers."""
        return self.cut_off_until.get(member, 0.0) >= self.clock.seconds()

    def cut_off_members(self) -> set[str]:
        """Return the members that receive heartbeats from few of their machines.

        The network of such a member has failed rather than the machines. Members that were marked
        as cut off are included while that lasts.
        """
        held: dict[str, int] = {}
        silent: dict[str, int] = {}
        for status in self.machine_statuses():
            member = (self.mirror.holder_of(status.capacity.name) or ("", 0))[0]
            held[member] = held.get(member, 0) + 1
            silent[member] = silent.get(member, 0) + (
                status.silent_s > self.timeouts.silence_timeout_s / 2
            )
        now = self.clock.seconds()
        marked = {m for m, until in self.cut_off_until.items() if until > now}
        return marked | {
            m
            for m, count in held.items()
            if count > MAX_INCONCLUSIVE_MACHINES and silent[m] * 2 > count
        }
