"""Every duration of the service, derived from the few that the settings give."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamspar.settings import OperatorSettings, Settings, WorkerSettings

# Steady clocks of different machines may drift apart by this share (PROTOCOL).
DRIFT = 0.0005
# The margin of a duration that two clocks measure, as a share of it: each may drift by DRIFT in
# its own direction, and as much again is left to be safe.
CLOCK_MARGIN = 4 * DRIFT
# The registration lease as a share of the time that it may have, and what `validity` leaves of
# that time besides.
LEASE_SHARE = 0.97
VALIDITY_MARGIN = 0.03
SHORTEST_REGISTRATION_LEASE_S = 1.0


class Timeouts:
    """Every duration of the service, in seconds, as a ratio to a figure of the settings.

    `report`, the interval of workers' heartbeats, and `worker_lease` are the settings' own; the
    others follow from them.
    """

    def __init__(self, settings: Settings, operator_settings: OperatorSettings) -> None:
        workers = settings.platform.workers
        # The interval in which workers send heartbeats, and how long one that is not answered
        # keeps its tasks running.
        self.report = workers.report_s
        self.worker_lease = workers.lease_s
        self._derive_leases(workers, operator_settings.lease_share)
        self._derive_calls()
        self._derive_intervals()
        self._derive_gang_waits(workers)
        self._derive_failure_detection()
        self._derive_capacity_waits()

    def _derive_leases(self, workers: WorkerSettings, lease_share: float) -> None:
        # A controller that is cut off learns of no cancellation. It may answer its workers until
        # its lease ends and they may run on for theirs, so both together must fit into the time
        # in which a cancellation has to take effect.
        longest = (workers.cancel_s - self.worker_lease) * lease_share
        self.registration_lease = max(longest * LEASE_SHARE, SHORTEST_REGISTRATION_LEASE_S)
        # How long after a renewal was sent the controller may act: by its own clock it stops
        # before the state service ends its lease.
        self.validity = self.registration_lease * (1 - CLOCK_MARGIN) - longest * VALIDITY_MARGIN
        # The interval of renewals.
        self.lease_renewal = self.registration_lease / 10
        # A task on a silent worker has certainly ended this long after the last answer to it.
        self.worker_gone = self.worker_lease * (1 + CLOCK_MARGIN) + self.report * 0.1
        # The leader's lease covers no machines: cancellations don't bound it, and the sooner it
        # passes on the better. A leader's writes fail once it has passed.
        self.leader_lease = self.worker_lease * 0.4

    def _derive_calls(self) -> None:
        # Within which calls of the state service, the cloud and peers are answered, or have
        # failed.
        self.request = self.report / 2
        # Within which direct commands to a worker are answered, or have failed.
        self.command = self.report * 0.67
        # The pause before something that failed is tried again.
        self.retry = self.report / 6
        # How long a watch waits for a change.
        self.watch_hold = self.report * 0.67
        # How long a connection without a request stays open: a few heartbeats' time.
        self.keep_open = self.report * 5

    def _derive_intervals(self) -> None:
        # The interval of members' heartbeats to the leader, of health probes and of placing.
        self.heartbeat = self.report / 6
        # How long users' polls are gathered for one comparison with the state service: a call
        # for every other poll took more of processor and rate than all else.
        self.poll_batching = self.heartbeat / 4
        # How often a job controller repeats all of its desired state, though nothing seems to
        # have been lost.
        self.resync = self.worker_lease

    def _derive_gang_waits(self, workers: WorkerSettings) -> None:
        # How long a gang's task waits for the others, and within which time they must be told to
        # stop. Workers of an earlier release do not say it.
        self.gang_wait = workers.gang_wait_s or self.worker_lease * 2
        self.gang_peer = workers.gang_peer_s or self.report
        # How long a gang waits before machines are reserved for it.
        self.gang_starvation = self.gang_wait * 1.5

    def _derive_failure_detection(self) -> None:
        # How old the mirror may be to start something by it: a watch and its answer.
        self.mirror_freshness = self.report * 1.67
        # How long a worker or a member may send no heartbeat before it counts as silent.
        self.silent = self.report * 2.5
        # A worker that nobody answers tries every controller within this time. Its controller
        # counts as unreachable after the other: early enough for another to answer within the
        # worker's lease, though the worker may be waiting for an answer first.
        self.unserved_machine = self.report * 3
        self.out_of_reach = self.worker_lease * 0.4
        # How long a task that no job controller has named may stay so before its record is read.
        self.unknown_task = self.report * 1.5
        # How long what is bound beyond its team's quota may stay so without being seen to run.
        self.unstarted = self.worker_lease * 2

    def _derive_capacity_waits(self) -> None:
        # How long a class's largest job is a measure for the headroom to keep.
        self.largest_job_memory = self.worker_lease * 12
        # How long a machine is idle before it may be scaled in.
        self.idle = self.worker_lease * 2
