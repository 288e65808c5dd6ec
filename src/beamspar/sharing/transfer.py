"""The holders' side of a handover: prepare for it, pass on what is known, adopt that.

The shard's record alone says who holds a machine. What is passed on only makes the new holder
quicker: it knows when a silent worker was answered last instead of waiting for the longest lease
that the former holder might have had, and which machines are draining or faulty.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.logger import Logger

from beamspar.cluster.registration import Registration
from beamspar.machines.machine_controller import MachineController
from beamspar.machines.managed_machine import NO_HEARTBEAT, HeartbeatId, ManagedMachine
from beamspar.protocol.peer_messages import MAX_MACHINE_STATUSES, decode
from beamspar.sharing.messages import (
    MachineState,
    PrepareReply,
    PrepareRequest,
    ReleaseReply,
    ReleaseRequest,
)
from beamspar.state import keys
from beamspar.timeouts import Timeouts
from beamspar.transport.clock import Clock, sleep, spawn
from beamspar.transport.http import CallFailedError

log = Logger(namespace="sharing")

# Sends a message to a member's path and returns the body of its answer; raises CallFailedError.
Send = Callable[[str, str, Any, float], Awaitable[bytes]]


class Transfer:
    """Owns the releases that this controller still has to send; lasts as long as its
    registration."""

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        holder: MachineController,
        timeouts: Timeouts,
        send: Send,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.machine_controller = holder
        self.timeouts = timeouts
        self.send = send
        # Machines that are another's now, by their new holder, with their fencing token there.
        self.released: dict[str, dict[str, tuple[ManagedMachine, int]]] = {}
        # How many machines were taken over with what their former holder knew.
        self.taken_over_count = 0
        holder.on_released = self._released
        holder.repeats_at_once = True

    # -- before the move

    async def prepare(self, request: PrepareRequest) -> PrepareReply:
        """Start nothing new on the shards, and wait until no start of ours is under way there.

        Work goes on and heartbeats are answered: should the leader end now, no lease runs out.
        """
        if request.member != self.mirror.leader or not self.registration.lease_is_valid():
            log.info("{member} does not lead: nothing is prepared", member=request.member)
            return PrepareReply([])
        now = self.clock.seconds()
        for_s = min(max(request.for_s, 0.0), self.timeouts.report)
        waiting = {}
        for name, number in request.shards.items():
            shard = self.mirror.shards.get(name)
            if shard is None or (shard.holder, shard.fencing_token) != (
                self.registration.me,
                number,
            ):
                log.info("{name} is not ours under {number}", name=name, number=number)
                continue
            machines = [
                self.machine_controller.machines.get(machine.name) for machine in shard.machines
            ]
            waiting[name] = [machine for machine in machines if machine is not None]
            for machine in waiting[name]:
                self.machine_controller.pause_starts(machine, now + for_s)
        ready: list[str] = []
        while waiting:
            for name in [name for name, held in waiting.items() if not any(map(_starting, held))]:
                del waiting[name]
                ready.append(name)
            if not waiting or self.clock.seconds() >= now + for_s / 2:
                break
            await sleep(self.clock, self.timeouts.heartbeat / 20)
        return PrepareReply(sorted(ready))

    # -- after the move, at the former holder

    def _released(self, machine: ManagedMachine, successor: str, number: int) -> None:
        """The mirror says that the machine is another's: send that one what we know."""
        if successor not in self.mirror.members:
            return
        waiting = self.released.setdefault(successor, {})
        if not waiting:
            self.clock.callLater(0, spawn, self._release(successor), f"release to {successor}")
        waiting[machine.info.name] = (machine, number)

    async def _release(self, successor: str) -> None:
        """Send it until it is acknowledged; the rules of a move without it hold meanwhile."""
        # When the longest lease that we may have had is over it gains nothing more.
        until = self.clock.seconds() + self.timeouts.registration_lease
        waiting = self.released[successor]
        while waiting and not self.registration.lost and self.clock.seconds() < until:
            pause_s = self.timeouts.heartbeat / 10
            part = list(waiting.items())[:MAX_MACHINE_STATUSES]
            states = [self._state(machine, number) for _, (machine, number) in part]
            request = ReleaseRequest(self.registration.me, self.registration.incarnation, states)
            try:
                body = await self.send(successor, "release", request, self.timeouts.request)
                reply: ReleaseReply = decode(body, ReleaseReply)
            except (CallFailedError, ValueError) as error:
                log.info("release to {member} waits: {error}", member=successor, error=error)
                pause_s = self.timeouts.retry
            else:
                again = set(reply.unknown_yet)
                for name, told in part:
                    if name not in again and waiting.get(name) is told:
                        del waiting[name]
            await sleep(self.clock, pause_s)
        self.released.pop(successor, None)

    def _state(self, machine: ManagedMachine, number: int) -> MachineState:
        now = self.clock.seconds()
        return MachineState(
            machine.info.name,
            number,
            machine.fencing_token,
            machine.is_exclusive,
            now - machine.last_possible_answer_at,
            machine.agent_epoch,
            machine.observed_seq,
            *machine.last_heartbeat_id,
            machine.min_agent_epoch,
            now - machine.last_heartbeat_at,
            now - machine.idle_since,
            max(machine.quarantined_until - now, 0.0),
            machine.is_degraded,
            machine.is_draining,
            dict(machine.images),
        )

    # -- after the move, at the new holder

    def accept(self, request: ReleaseRequest) -> ReleaseReply:
        """Adopt what a former holder knew, of machines that we hold from it under that token."""
        accepted: list[str] = []
        unknown_yet: list[str] = []
        fence, _ = self.mirror.values.get(keys.fence(request.member), ({}, 0))
        if fence.get("inc") != request.incarnation:
            log.info("release of a former {member} is refused", member=request.member)
            return ReleaseReply([])
        for state in request.machines:
            machine = self.machine_controller.machines.get(state.machine)
            if state.fencing_token > self.mirror.revision:
                # The sender's mirror is ahead of ours.
                unknown_yet.append(state.machine)
            elif machine is None or not self._is_from(request.member, state, machine):
                log.info("release of {name} is refused", name=state.machine)
            else:
                accepted.append(state.machine)
                if not machine.is_taken_over:
                    machine.is_taken_over = True
                    self.taken_over_count += 1
                    self._take_over(machine, state)
        return ReleaseReply(accepted, unknown_yet)

    def _is_from(self, member: str, state: MachineState, machine: ManagedMachine) -> bool:
        """Is it about the very move by which we got the machine?"""
        return (
            machine.fencing_token == state.fencing_token
            and state.former_fencing_token < state.fencing_token
            and self.mirror.previous_holders.get(state.machine) == member
        )

    def _take_over(self, machine: ManagedMachine, state: MachineState) -> None:
        now = self.clock.seconds()
        if state.sole:
            # The sender answers no more, and nobody before it can: what it answered last counts.
            # Without this a machine that died as it moved was lost for a lease and a half.
            answered = min(machine.last_possible_answer_at, now - state.answered_ago_s)
            machine.last_possible_answer_at = max(machine.answered_at, answered)
            machine.is_exclusive = True
        # Copies of older reports that arrive late are known as such.
        if (machine.agent_epoch, machine.observed_seq) < (state.agent_epoch, state.sequence):
            machine.agent_epoch, machine.observed_seq = state.agent_epoch, state.sequence
        if machine.last_heartbeat_id == NO_HEARTBEAT:
            machine.last_heartbeat_at = now - max(state.silent_s, 0.0)
        reported = HeartbeatId(state.report_agent_epoch, state.report_sequence)
        machine.last_heartbeat_id = max(machine.last_heartbeat_id, reported)
        machine.min_agent_epoch = max(machine.min_agent_epoch, state.min_agent_epoch)
        machine.quarantined_until = max(machine.quarantined_until, now + state.set_aside_s)
        machine.is_degraded = machine.is_degraded or state.is_degraded
        machine.is_draining = machine.is_draining or state.draining
        if not machine.tasks:
            machine.idle_since = min(machine.idle_since, now - max(state.idle_s, 0.0))
        self.machine_controller.add_known_images(machine, state.images)
        machine.mark_all_changed()
        self.machine_controller.reconcile(machine)


def _starting(machine: ManagedMachine) -> bool:
    """Is an order of ours under way there, or a start that may still be carried out?"""
    return machine.is_sending_commands or any(
        machine.has_indeterminate_start(key) for key in machine.starts
    )
