"""Backoff of jobs that fail everywhere, and attribution of failures to jobs or to machines."""

from __future__ import annotations

import msgspec

from beamspar.machines.fault_evidence import MAX_TRACKED_JOBS, FaultEvidence
from beamspar.machines.managed_machine import ManagedMachine
from beamspar.settings import OperatorSettings, Settings
from beamspar.state.control_records import Machine
from beamspar.timeouts import Timeouts
from beamspar.workload.failure_backoff import (
    CONCURRENT_PROBES,
    MAX_PROBE_PAUSE_INTERVALS,
    FailureBackoff,
)
from tests.standins.world import World

RETRY_S = 0.5


def failing(machines: int, now: float = 0.0) -> FailureBackoff:
    """Return the backoff of a job that failed on this number of machines."""
    backoff = FailureBackoff()
    for number in range(machines):
        backoff.record_failure(f"host-{number}", now, RETRY_S)
    return backoff


def machine(name: str) -> ManagedMachine:
    """Return a managed machine without failures."""
    return ManagedMachine(Machine(name, f"{name}:9000", "small", "east"), 7, 0.0, 0.0)


def evidence() -> FaultEvidence:
    """Return a machine controller's fault evidence, with the timeouts of the simulation."""
    settings: Settings = World().settings["rig-0"]
    return FaultEvidence(Timeouts(settings, OperatorSettings()))


def test_failures_on_two_machines_are_not_attributed_to_the_job() -> None:
    assert failing(2).bindable_count(200, 0, 0, 0.1) == 200


def test_probes_run_after_a_pause_that_grows() -> None:
    backoff = failing(3)
    assert backoff.is_job_at_fault
    assert backoff.bindable_count(200, 0, 0, RETRY_S * 0.9) == 0
    assert backoff.bindable_count(200, 0, 0, RETRY_S) == CONCURRENT_PROBES
    assert backoff.bindable_count(200, CONCURRENT_PROBES, 0, RETRY_S) == 0
    backoff.record_failure("host-9", RETRY_S, RETRY_S)
    assert backoff.bindable_count(200, 0, 0, RETRY_S * 2.9) == 0
    assert backoff.bindable_count(200, 0, 0, RETRY_S * 3) == CONCURRENT_PROBES
    now = 1000.0
    for _ in range(20):
        backoff.record_failure("host-9", now, RETRY_S)
        now += RETRY_S * MAX_PROBE_PAUSE_INTERVALS
    assert backoff.bindable_count(200, 0, 0, now) == CONCURRENT_PROBES


def test_a_job_with_more_running_tasks_than_failures_is_not_backed_off() -> None:
    assert failing(3).bindable_count(200, 50, 50, 0.1) == 200


def test_one_success_ends_the_backoff() -> None:
    backoff = failing(5)
    backoff.record_success()
    assert backoff.bindable_count(200, 0, 0, 0.1) == 200
    assert not backoff.record_failure("host-1", 1.0, RETRY_S)
    assert backoff.bindable_count(200, 0, 0, 1.1) == 200


def test_failures_of_two_jobs_are_attributed_to_the_machine_unless_the_jobs_are_at_fault() -> None:
    faults, managed = evidence(), machine("host-1")
    assert faults.attribute_failure(managed, "j-1", False, 1.0) == ["j-1"]
    assert faults.attribute_failure(managed, "j-2", False, 2.0) == ["j-1", "j-2"]
    assert managed.is_degraded and managed.quarantined_until > 2.0
    faults.mark_job_at_fault("j-1", [managed])
    assert not managed.is_degraded
    faults.mark_job_at_fault("j-2", [managed])
    assert managed.quarantined_until == 0.0
    assert faults.attribute_failure(managed, "j-2", True, 3.0) == []
    assert faults.attribute_failure(managed, "j-1", False, 3.0) == [], (
        "failures of this job are already attributed to the job itself"
    )


def test_a_faulty_machine_is_detected_beside_a_job_at_fault() -> None:
    faults, managed = evidence(), machine("host-1")
    faults.mark_job_at_fault("j-broken", [managed])
    assert faults.attribute_failure(managed, "j-broken", True, 1.0) == []
    assert faults.attribute_failure(managed, "j-1", False, 1.0) == ["j-1"]
    assert faults.attribute_failure(managed, "j-2", False, 2.0) == ["j-1", "j-2"]
    assert managed.is_degraded


def test_the_memory_for_fault_evidence_is_bounded() -> None:
    faults, managed = evidence(), machine("host-1")
    for number in range(MAX_TRACKED_JOBS * 2):
        faults.attribute_failure(managed, f"j-{number}", False, float(number))
    assert len(faults._machines_of) == MAX_TRACKED_JOBS
    assert len(managed.job_failures) <= faults.timeouts.worker_lease_s * 6 + 1


def test_a_desired_attempt_is_read_by_a_release_without_its_last_fields() -> None:
    class OldDesiredAttempt(msgspec.Struct, array_like=True):
        machine: str
        number: int

    assert msgspec.json.decode(b'["host-1",7,"j-1/0",1]', type=OldDesiredAttempt).number == 7
