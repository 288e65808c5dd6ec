"""The summary of this controller's jobs and machines that a heartbeat carries to the leader."""

from __future__ import annotations

import msgspec

from beamspar.jobs.job_controller import JobController
from beamspar.node.incarnation import Actors
from beamspar.node.leader_guidance import LeaderGuidance
from beamspar.node.worker_contacts import WorkerContacts
from beamspar.protocol.peer_messages import JobClass, MemberHeartbeat
from beamspar.state.job_records import JobStatus
from beamspar.workload.job import Job


def summarize(
    actors: Actors, guidance: LeaderGuidance, contacts: WorkerContacts, since: int = 0
) -> MemberHeartbeat:
    """Return a heartbeat with the changes after the change count `since`; with 0 the full state."""
    registration, machine_controller = actors.registration, actors.machine_controller
    machines, count = machine_controller.changed_statuses(since)
    may_move_machines = actors.sharing is not None
    return MemberHeartbeat(
        registration.own_name,
        registration.incarnation,
        machines,
        since,
        count,
        [msgspec.to_builtins(machine) for machine in contacts.unassigned.values()],
        job_classes(actors.job_controller),
        guidance.caches_known if since else 0,
        {} if since else guidance.caches,
        contacts.unserved_machines(),
        is_partial=count < machine_controller.change_count,
        demand=demand(actors.job_controller) if may_move_machines else 0,
        late_s=actors.job_controller.placer.late_s if may_move_machines else 0.0,
    )


def job_classes(job_controller: JobController) -> dict[str, JobClass]:
    """Summarize the live jobs of this controller by class."""
    classes: dict[str, JobClass] = {}
    for job in live_jobs(job_controller):
        job_class = classes.get(job.spec.job_class)
        if job_class is None:
            job_class = classes[job.spec.job_class] = JobClass(msgspec.to_builtins(job.spec))
        zones, _ = job.task_counts_by_location(job_controller.zone_of)
        for zone, count in zones.items():
            job_class.zones[zone] = job_class.zones.get(zone, 0) + count
        job_class.largest_job = max(job_class.largest_job, job.spec.tasks)
    return classes


def demand(job_controller: JobController) -> int:
    """Return how many tasks of the live jobs are bound or pending."""
    return sum(job.spec.tasks - job.done_count for job in live_jobs(job_controller))


def live_jobs(job_controller: JobController) -> list[Job]:
    """Return the jobs of this controller that are neither done nor cancelled."""
    return [job for job in job_controller.jobs.values() if job.status == JobStatus.LIVE]
