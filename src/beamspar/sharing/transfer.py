"""The holders' side of a handover: preparing a shard, and passing on the state of its machines.

Only the shard's record determines who holds a machine. The state that is passed on only saves
time: it includes when a silent worker was last answered, so that the new holder need not wait for
the longest lease that the former holder may have had, and whether a machine is draining or faulty.
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
from beamspar.transport.clock import Clock, run_in_background, sleep
from beamspar.transport.http import CallFailedError

log = Logger(namespace="sharing")

# Sends a message to a path of a member and returns the body of the reply; raises CallFailedError.
Send = Callable[[str, str, Any, float], Awaitable[bytes]]


class Transfer:
    """Owns the releases that this controller still has to send.

    It lives as long as the controller's registration.
    """

    def __init__(
        self,
        clock: Clock,
        registration: Registration,
        machine_controller: MachineController,
        timeouts: Timeouts,
        send: Send,
    ) -> None:
        self.clock = clock
        self.registration = registration
        self.mirror = registration.mirror
        self.machine_controller = machine_controller
        self.timeouts = timeouts
        self.send = send
        # Machines that were moved away, by new holder and name, with their new fencing tokens.
        self.unsent_releases: dict[str, dict[str, tuple[ManagedMachine, int]]] = {}
        # How many machines were taken over with the state that their former holder passed on.
        self.taken_over_count = 0
        machine_controller.on_released = self._queue_release
        machine_controller.resends_without_pause = True

    # -- before the move

    async def prepare(self, request: PrepareRequest) -> PrepareReply:
        """Pause starts on the shards, and wait until no start of this controller is in flight.

        Running work continues and heartbeats are still answered, so no lease expires if the leader
        fails now. The reply names the shards that became ready in time.
        """
        if request.member != self.mirror.leader or not self.registration.is_lease_valid():
            log.info(
                "ignored a prepare request of {member}: that member does not lead, or this"
                " controller's lease is not valid",
                member=request.member,
            )
            return PrepareReply([])
        now = self.clock.seconds()
        for_s = min(max(request.for_s, 0.0), self.timeouts.worker_heartbeat_interval_s)
        pending = {}
        for name, fencing_token in request.shards.items():
            shard = self.mirror.shards.get(name)
            if shard is None or (shard.holder, shard.fencing_token) != (
                self.registration.own_name,
                fencing_token,
            ):
                log.info(
                    "shard {name} is not held here with fencing token {fencing_token},"
                    " not prepared for a move",
                    name=name,
                    fencing_token=fencing_token,
                )
                continue
            machines = [
                self.machine_controller.machines.get(machine.name) for machine in shard.machines
            ]
            pending[name] = [machine for machine in machines if machine is not None]
            for machine in pending[name]:
                self.machine_controller.pause_starts(machine, now + for_s)
        ready: list[str] = []
        while pending:
            for name in [
                name for name, held in pending.items() if not any(map(_has_start_in_flight, held))
            ]:
                del pending[name]
                ready.append(name)
            if not pending or self.clock.seconds() >= now + for_s / 2:
                break
            await sleep(self.clock, self.timeouts.member_heartbeat_interval_s / 20)
        return PrepareReply(sorted(ready))

    # -- after the move, at the former holder

    def _queue_release(self, machine: ManagedMachine, successor: str, fencing_token: int) -> None:
        """Queue the state of a machine that has another holder now, to be sent to that holder."""
        if successor not in self.mirror.members:
            return
        unsent = self.unsent_releases.setdefault(successor, {})
        if not unsent:
            self.clock.callLater(
                0, run_in_background, self._release(successor), f"release to {successor}"
            )
        unsent[machine.info.name] = (machine, fencing_token)

    async def _release(self, successor: str) -> None:
        """Send the queued states until they are acknowledged.

        Until then the successor treats the machines like those of a holder that passes on no state.
        """
        # The state is useless once the longest lease that this controller may have had has expired.
        give_up_at = self.clock.seconds() + self.timeouts.registration_lease_s
        unsent = self.unsent_releases[successor]
        while unsent and not self.registration.is_ended and self.clock.seconds() < give_up_at:
            pause_s = self.timeouts.member_heartbeat_interval_s / 10
            batch = list(unsent.items())[:MAX_MACHINE_STATUSES]
            states = [self._state(machine, fencing_token) for _, (machine, fencing_token) in batch]
            request = ReleaseRequest(
                self.registration.own_name, self.registration.incarnation, states
            )
            try:
                body = await self.send(
                    successor, "release", request, self.timeouts.request_timeout_s
                )
                reply: ReleaseReply = decode(body, ReleaseReply)
            except (CallFailedError, ValueError) as error:
                log.info(
                    "failed to send a release to {member}, will retry: {error}",
                    member=successor,
                    error=error,
                )
                pause_s = self.timeouts.retry_delay_s
            else:
                to_resend = set(reply.unknown_yet)
                for name, sent in batch:
                    if name not in to_resend and unsent.get(name) is sent:
                        del unsent[name]
            await sleep(self.clock, pause_s)
        self.unsent_releases.pop(successor, None)

    def _state(self, machine: ManagedMachine, fencing_token: int) -> MachineState:
        now = self.clock.seconds()
        return MachineState(
            machine.info.name,
            fencing_token,
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
        """Adopt the state that a former holder passes on.

        A state is accepted only if this controller holds the machine with the fencing token in it
        and took it over from the sender.
        """
        accepted: list[str] = []
        unknown_yet: list[str] = []
        fence, _ = self.mirror.values.get(keys.fence_key(request.member), ({}, 0))
        if fence.get("inc") != request.incarnation:
            log.info(
                "refused a release of {member}: it is not from the member's current incarnation",
                member=request.member,
            )
            return ReleaseReply([])
        for state in request.machines:
            machine = self.machine_controller.machines.get(state.machine)
            if state.fencing_token > self.mirror.revision:
                # The sender's mirror is ahead of this controller's.
                unknown_yet.append(state.machine)
            elif machine is None or not self._matches_move(request.member, state, machine):
                log.info(
                    "refused the release of machine {name}: it does not match the move by which"
                    " the machine came here",
                    name=state.machine,
                )
            else:
                accepted.append(state.machine)
                if not machine.is_state_transferred:
                    machine.is_state_transferred = True
                    self.taken_over_count += 1
                    self._take_over(machine, state)
        return ReleaseReply(accepted, unknown_yet)

    def _matches_move(self, member: str, state: MachineState, machine: ManagedMachine) -> bool:
        """Return whether the state is about the move by which this controller got the machine."""
        return (
            machine.fencing_token == state.fencing_token
            and state.former_fencing_token < state.fencing_token
            and self.mirror.previous_holders.get(state.machine) == member
        )

    def _take_over(self, machine: ManagedMachine, state: MachineState) -> None:
        now = self.clock.seconds()
        if state.is_sole_holder:
            # Neither the sender nor an earlier holder can answer the worker any more, so the
            # sender's last answer counts. Otherwise, the loss of a machine that dies during its
            # move would be detected only after one and a half leases.
            last_answered_at = min(machine.last_possible_answer_at, now - state.answered_ago_s)
            machine.last_possible_answer_at = max(machine.answered_at, last_answered_at)
            machine.is_exclusive = True
        # Late copies of older heartbeats are recognized by epoch and sequence.
        if (machine.agent_epoch, machine.observed_seq) < (state.agent_epoch, state.sequence):
            machine.agent_epoch, machine.observed_seq = state.agent_epoch, state.sequence
        if machine.last_heartbeat_id == NO_HEARTBEAT:
            machine.last_heartbeat_at = now - max(state.silent_s, 0.0)
        newest_heartbeat_id = HeartbeatId(state.heartbeat_agent_epoch, state.heartbeat_sequence)
        machine.last_heartbeat_id = max(machine.last_heartbeat_id, newest_heartbeat_id)
        machine.min_agent_epoch = max(machine.min_agent_epoch, state.min_agent_epoch)
        machine.quarantined_until = max(machine.quarantined_until, now + state.quarantine_s)
        machine.is_degraded = machine.is_degraded or state.is_degraded
        machine.is_draining = machine.is_draining or state.is_draining
        if not machine.tasks:
            machine.idle_since = min(machine.idle_since, now - max(state.idle_s, 0.0))
        self.machine_controller.add_known_images(machine, state.images)
        machine.mark_all_changed()
        self.machine_controller.reconcile(machine)


def _has_start_in_flight(machine: ManagedMachine) -> bool:
    """Return whether commands are being sent to the machine, or a start may still take effect."""
    return machine.is_sending_commands or any(
        machine.has_indeterminate_start(key) for key in machine.starts
    )
