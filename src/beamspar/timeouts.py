"""All timeouts and intervals of the service, derived from a few durations in the settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from beamspar.settings import OperatorSettings, Settings, WorkerSettings

# The maximum drift between monotonic clocks of different machines, as a fraction (PROTOCOL).
MAX_CLOCK_DRIFT = 0.0005
# The margin of a duration that two clocks measure, as a fraction of it: each clock may drift by
# MAX_CLOCK_DRIFT in its own direction, and the same amount is added for safety.
CLOCK_MARGIN = 4 * MAX_CLOCK_DRIFT
# The registration lease as a fraction of its maximum duration, and the further fraction of that
# maximum by which `lease_validity_s` is shorter than the lease.
LEASE_SHARE = 0.97
VALIDITY_MARGIN = 0.03
MIN_REGISTRATION_LEASE_S = 1.0


class Timeouts:
    """All durations of the service in seconds, most of them as a multiple of one in the settings.

    `worker_heartbeat_interval_s`, the interval of workers' heartbeats, and `worker_lease_s` are
    taken from the settings. The others are derived from these and from further limits in
    the settings.
    """

    def __init__(self, settings: Settings, operator_settings: OperatorSettings) -> None:
        workers = settings.platform.workers
        # The interval of workers' heartbeats, and how long a worker keeps its tasks running without
        # a reply to its heartbeats.
        self.worker_heartbeat_interval_s = workers.report_s
        self.worker_lease_s = workers.lease_s
        self._derive_leases(workers, operator_settings.lease_share)
        self._derive_request_timeouts()
        self._derive_intervals()
        self._derive_gang_waits(workers)
        self._derive_failure_detection()
        self._derive_capacity_waits()

    def _derive_leases(self, workers: WorkerSettings, lease_share: float) -> None:
        # A partitioned controller observes no cancellations. It may reply to its workers until its
        # lease expires, and they may continue until theirs do. So both leases together must fit
        # into the time within which a cancellation has to take effect.
        max_lease = (workers.cancel_s - self.worker_lease_s) * lease_share
        self.registration_lease_s = max(max_lease * LEASE_SHARE, MIN_REGISTRATION_LEASE_S)
        # How long the controller may act after it sent a renewal. By its own clock it stops before
        # the state service expires its lease.
        self.lease_validity_s = (
            self.registration_lease_s * (1 - CLOCK_MARGIN) - max_lease * VALIDITY_MARGIN
        )
        # The interval of lease renewals.
        self.lease_renewal_interval_s = self.registration_lease_s / 10
        # How long after the last reply to a silent worker its tasks have certainly ended.
        self.worker_expiry_s = (
            self.worker_lease_s * (1 + CLOCK_MARGIN) + self.worker_heartbeat_interval_s * 0.1
        )
        # The leader's lease covers no machines, so cancellations don't limit it, and a shorter one
        # makes failover faster. A former leader's writes fail once another has taken the lease.
        self.leader_lease_s = self.worker_lease_s * 0.4
        # How long the leader may go by its lease after it sent the grant's or a renewal's request.
        self.leader_lease_validity_s = self.leader_lease_s * (1 - CLOCK_MARGIN)

    def _derive_request_timeouts(self) -> None:
        # The timeout of requests to the state service, the cloud and peers.
        self.request_timeout_s = self.worker_heartbeat_interval_s / 2
        # The timeout of direct commands to workers.
        self.command_timeout_s = self.worker_heartbeat_interval_s * 0.67
        # The delay before a failed operation is retried.
        self.retry_delay_s = self.worker_heartbeat_interval_s / 6
        # How long a watch request waits for a change.
        self.watch_hold_s = self.worker_heartbeat_interval_s * 0.67
        # How long an idle connection stays open: several heartbeat intervals.
        self.keep_alive_s = self.worker_heartbeat_interval_s * 5

    def _derive_intervals(self) -> None:
        # The interval of members' heartbeats to the leader, of health probes and of placement.
        self.member_heartbeat_interval_s = self.worker_heartbeat_interval_s / 6
        # How long users' polls are batched for one comparison of record versions by the state
        # service. With a comparison for every other poll, polls take more CPU time and request rate
        # than everything else.
        self.poll_batching_s = self.member_heartbeat_interval_s / 4
        # The interval at which a job controller resends its whole desired state, even if no message
        # is known to be lost.
        self.resync_interval_s = self.worker_lease_s

    def _derive_gang_waits(self, workers: WorkerSettings) -> None:
        # How long a gang's task waits for the others, and the time within which these must receive
        # the command to stop. The settings of platforms with an earlier worker release lack both.
        self.gang_wait_s = workers.gang_wait_s or self.worker_lease_s * 2
        self.gang_peer_s = workers.gang_peer_s or self.worker_heartbeat_interval_s
        # How long a gang is pending before machines are reserved for it.
        self.gang_starvation_s = self.gang_wait_s * 1.5

    def _derive_failure_detection(self) -> None:
        # The maximum age of the mirror at which it may be used to start work: the time of a watch
        # request and its response.
        self.mirror_max_age_s = self.worker_heartbeat_interval_s * 1.67
        # How long after its worker's last heartbeat a machine gets no new tasks, and the leader may
        # count it as failed. After half of this time the machine is reported to the leader as
        # silent, which shows members that are cut off from most of their machines.
        self.silence_timeout_s = self.worker_heartbeat_interval_s * 2.5
        # How long a controller lists a machine as unserved after its worker last turned to it
        # instead of the machine's holder. In this time, a worker that gets no replies tries every
        # controller.
        self.unserved_machine_window_s = self.worker_heartbeat_interval_s * 3
        # How long calls to a member must have failed before the leader counts it as unreachable, or
        # how long a machine must have been silent before the leader moves its shard from a holder
        # that is cut off. This is early enough for another controller to reply within the worker's
        # lease, even if the worker first waits for a reply of the unreachable one.
        self.unreachable_timeout_s = self.worker_lease_s * 0.4
        # How long a task may run without being named by a job controller before its record is read.
        self.unknown_task_timeout_s = self.worker_heartbeat_interval_s * 1.5
        # How long a task beyond its team's quota may stay bound without being observed to run.
        self.unstarted_timeout_s = self.worker_lease_s * 2

    def _derive_capacity_waits(self) -> None:
        # How long the largest job of a class is considered for the headroom.
        self.largest_job_memory_s = self.worker_lease_s * 12
        # The idle time after which a machine may be scaled in.
        self.idle_timeout_s = self.worker_lease_s * 2
