"""The holders' side of a handover: prepare for it, pass on what is known, take that over.

The block's record alone says who holds a machine. What is passed on only makes the new holder
quicker: it knows when a silent worker was answered last instead of waiting for the longest lease
that the former holder might have had, and which machines are draining or faulty.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.logger import Logger

from beamspar.cluster.registration import Session
from beamspar.machines.machine_controller import Holder
from beamspar.machines.managed_machine import HeldMachine
from beamspar.protocol.peer_messages import VIEWS_AT_ONCE, decode
from beamspar.settings import Timing
from beamspar.sharing.messages import (
    MachineState,
    PrepareReply,
    PrepareRequest,
    ReleaseReply,
    ReleaseRequest,
)
from beamspar.transport.http import CallFailedError, Clock, sleep, spawn

log = Logger(namespace="sharing")

# Sends a message to a member's path and returns the body of its answer; raises CallFailedError.
Send = Callable[[str, str, Any, float], Awaitable[bytes]]


class Transfer:
    """Owns the releases that this controller still has to tell; lasts as long as its session."""

    def __init__(
        self, clock: Clock, session: Session, holder: Holder, timing: Timing, send: Send
    ) -> None:
        self.clock = clock
        self.session = session
        self.holder = holder
        self.timing = timing
        self.send = send
        # Machines that are another's now, by their new holder, with the number they have there.
        self.released: dict[str, dict[str, tuple[HeldMachine, int]]] = {}
        # Machines taken over with what their former holder knew, of late.
        self.taken_over = 0
        holder.on_released = self._released
        holder.repeats_at_once = True

    # -- before the move

    async def prepare(self, request: PrepareRequest) -> PrepareReply:
        """Start nothing new on the blocks, and wait until no start of ours is under way there.

        Work goes on and reports are answered: should the leader end now, no lease runs out.
        """
        if request.member != self.session.leader or not self.session.valid():
            log.info("{member} does not lead: nothing is prepared", member=request.member)
            return PrepareReply([])
        now = self.clock.seconds()
        for_s = min(max(request.for_s, 0.0), self.timing.report)
        waiting = {}
        for name, number in request.blocks.items():
            block = self.session.blocks.get(name)
            if block is None or (block.holder, block.number) != (self.session.me, number):
                log.info("{name} is not ours under {number}", name=name, number=number)
                continue
            machines = [self.holder.machines.get(machine.name) for machine in block.machines]
            waiting[name] = [machine for machine in machines if machine is not None]
            for machine in waiting[name]:
                self.holder.pause(machine, now + for_s)
        ready: list[str] = []
        while waiting:
            for name in [name for name, held in waiting.items() if not any(map(_starting, held))]:
                del waiting[name]
                ready.append(name)
            if not waiting or self.clock.seconds() >= now + for_s / 2:
                break
            await sleep(self.clock, self.timing.heartbeat / 20)
        return PrepareReply(sorted(ready))

    # -- after the move, at the former holder

    def _released(self, machine: HeldMachine, successor: str, number: int) -> None:
        """The mirror says that the machine is another's: tell that one what we know."""
        if successor not in self.session.members:
            return
        waiting = self.released.setdefault(successor, {})
        if not waiting:
            self.clock.callLater(0, spawn, self._release(successor), f"release to {successor}")
        waiting[machine.info.name] = (machine, number)

    async def _release(self, successor: str) -> None:
        """Say it until it was heard; the rules of a move without it hold meanwhile."""
        # When the longest lease that we may have had is over it gains nothing more.
        until = self.clock.seconds() + self.timing.grant
        waiting = self.released[successor]
        while waiting and not self.session.lost and self.clock.seconds() < until:
            pause_s = self.timing.heartbeat / 10
            part = list(waiting.items())[:VIEWS_AT_ONCE]
            states = [self._state(machine, number) for _, (machine, number) in part]
            request = ReleaseRequest(self.session.me, self.session.inc, states)
            try:
                body = await self.send(successor, "release", request, self.timing.call)
                reply: ReleaseReply = decode(body, ReleaseReply)
            except (CallFailedError, ValueError) as error:
                log.info("release to {member} waits: {error}", member=successor, error=error)
                pause_s = self.timing.retry
            else:
                again = set(reply.unknown_yet)
                for name, told in part:
                    if name not in again and waiting.get(name) is told:
                        del waiting[name]
            await sleep(self.clock, pause_s)
        self.released.pop(successor, None)

    def _state(self, machine: HeldMachine, number: int) -> MachineState:
        now = self.clock.seconds()
        return MachineState(
            machine.info.name,
            number,
            machine.number,
            machine.sole,
            now - machine.last_answer,
            machine.session,
            machine.seq,
            *machine.report_seq,
            machine.min_session,
            now - machine.reported_at,
            now - machine.idle_since,
            max(machine.sick_until - now, 0.0),
            machine.bad,
            machine.retiring,
            dict(machine.images),
        )

    # -- after the move, at the new holder

    def accept(self, request: ReleaseRequest) -> ReleaseReply:
        """Take in what a former holder knew, of machines that we hold from it under that number."""
        accepted: list[str] = []
        unknown_yet: list[str] = []
        fence, _ = self.session.values.get(f"c/fence/{request.member}", ({}, 0))
        if fence.get("inc") != request.incarnation:
            log.info("release of a former {member} is refused", member=request.member)
            return ReleaseReply([])
        for state in request.machines:
            machine = self.holder.machines.get(state.machine)
            if state.number > self.session.revision:
                # The sender's mirror is ahead of ours.
                unknown_yet.append(state.machine)
            elif machine is None or not self._is_from(request.member, state, machine):
                log.info("release of {name} is refused", name=state.machine)
            else:
                accepted.append(state.machine)
                if not machine.taken_over:
                    machine.taken_over = True
                    self.taken_over += 1
                    self._take_over(machine, state)
        return ReleaseReply(accepted, unknown_yet)

    def _is_from(self, member: str, state: MachineState, machine: HeldMachine) -> bool:
        """Is it about the very move by which we got the machine?"""
        return (
            machine.number == state.number
            and state.former_number < state.number
            and self.session.former.get(state.machine) == member
        )

    def _take_over(self, machine: HeldMachine, state: MachineState) -> None:
        now = self.clock.seconds()
        if state.sole:
            # The sender answers no more, and nobody before it can: what it answered last counts.
            # Without this a machine that died as it moved was lost for a lease and a half.
            answered = min(machine.last_answer, now - state.answered_ago_s)
            machine.last_answer = max(machine.answered_at, answered)
            machine.sole = True
        # Copies of older reports that arrive late are known as such.
        if (machine.session, machine.seq) < (state.session, state.sequence):
            machine.session, machine.seq = state.session, state.sequence
        if machine.report_seq == (0, -1):
            machine.reported_at = now - max(state.silent_s, 0.0)
        reported = (state.report_session, state.report_sequence)
        machine.report_seq = max(machine.report_seq, reported)
        machine.min_session = max(machine.min_session, state.min_session)
        machine.sick_until = max(machine.sick_until, now + state.set_aside_s)
        machine.bad = machine.bad or state.bad
        machine.retiring = machine.retiring or state.draining
        if not machine.tasks:
            machine.idle_since = min(machine.idle_since, now - max(state.idle_s, 0.0))
        self.holder.learn_images(machine, state.images)
        machine.touch_all()
        self.holder.step(machine)


def _starting(machine: HeldMachine) -> bool:
    """Is an order of ours under way there, or a start that may still be carried out?"""
    return machine.ordering or any(machine.in_doubt(key) for key in machine.starts)
