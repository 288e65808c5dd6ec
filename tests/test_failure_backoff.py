"""A job that fails everywhere is held back, and machines are told from jobs by their failures."""

from __future__ import annotations

import msgspec

from beamspar.machines.fault_evidence import MOST_JOBS, FaultEvidence
from beamspar.machines.managed_machine import ManagedMachine
from beamspar.settings import OperatorSettings, Settings
from beamspar.state.control_records import Machine
from beamspar.timeouts import Timeouts
from beamspar.workload.failure_backoff import CONCURRENT_PROBES, MAX_PROBE_PAUSE, FailureBackoff
from tests.standins.world import World

RETRY_S = 0.5


def failing(machines: int, now: float = 0.0) -> FailureBackoff:
    """A job that failed on so many machines."""
    backoff = FailureBackoff()
    for number in range(machines):
        backoff.record_failure(f"host-{number}", now, RETRY_S)
    return backoff


def machine(name: str) -> ManagedMachine:
    """A managed machine that has not failed anything yet."""
    return ManagedMachine(Machine(name, f"{name}:9000", "small", "east"), 7, 0.0, 0.0)


def evidence() -> FaultEvidence:
    """A machine controller's evidence, with the stand-ins' durations."""
    settings: Settings = World().settings["rig-0"]
    return FaultEvidence(Timeouts(settings, OperatorSettings()))


def test_two_machines_do_not_blame_a_job() -> None:
    assert failing(2).may_start(200, 0, 0, 0.1) == 200


def test_probes_after_a_pause_that_grows() -> None:
    backoff = failing(3)
    assert backoff.is_job_at_fault
    assert backoff.may_start(200, 0, 0, RETRY_S * 0.9) == 0
    assert backoff.may_start(200, 0, 0, RETRY_S) == CONCURRENT_PROBES
    assert backoff.may_start(200, CONCURRENT_PROBES, 0, RETRY_S) == 0
    backoff.record_failure("host-9", RETRY_S, RETRY_S)
    assert backoff.may_start(200, 0, 0, RETRY_S * 2.9) == 0
    assert backoff.may_start(200, 0, 0, RETRY_S * 3) == CONCURRENT_PROBES
    now = 1000.0
    for _ in range(20):
        backoff.record_failure("host-9", now, RETRY_S)
        now += RETRY_S * MAX_PROBE_PAUSE
    assert backoff.may_start(200, 0, 0, now) == CONCURRENT_PROBES


def test_a_job_that_mostly_runs_is_not_held_back() -> None:
    assert failing(3).may_start(200, 50, 50, 0.1) == 200


def test_one_success_ends_it() -> None:
    backoff = failing(5)
    backoff.record_success()
    assert backoff.may_start(200, 0, 0, 0.1) == 200
    assert not backoff.record_failure("host-1", 1.0, RETRY_S)
    assert backoff.may_start(200, 0, 0, 1.1) == 200


def test_two_jobs_speak_against_a_machine_unless_their_job_controllers_blame_them() -> None:
    faults, one = evidence(), machine("host-1")
    assert faults.attribute_failure(one, "j-1", False, 1.0) == ["j-1"]
    assert faults.attribute_failure(one, "j-2", False, 2.0) == ["j-1", "j-2"]
    assert one.is_degraded and one.quarantined_until > 2.0
    faults.mark_job_at_fault("j-1", [one])
    assert not one.is_degraded
    faults.mark_job_at_fault("j-2", [one])
    assert one.quarantined_until == 0.0
    assert faults.attribute_failure(one, "j-2", True, 3.0) == []
    assert faults.attribute_failure(one, "j-1", False, 3.0) == [], "it was blamed before"


def test_a_faulty_machine_is_found_beside_a_job_to_blame() -> None:
    faults, one = evidence(), machine("host-1")
    faults.mark_job_at_fault("j-broken", [one])
    assert faults.attribute_failure(one, "j-broken", True, 1.0) == []
    assert faults.attribute_failure(one, "j-1", False, 1.0) == ["j-1"]
    assert faults.attribute_failure(one, "j-2", False, 2.0) == ["j-1", "j-2"]
    assert one.is_degraded


def test_memory_is_bounded() -> None:
    faults, one = evidence(), machine("host-1")
    for number in range(MOST_JOBS * 2):
        faults.attribute_failure(one, f"j-{number}", False, float(number))
    assert len(faults._machines_of) == MOST_JOBS
    assert len(one.job_failures) <= faults.timeouts.worker_lease * 6 + 1


def test_a_desired_attempt_of_this_release_is_read_by_one_without_the_field() -> None:
    class OldDesiredAttempt(msgspec.Struct, array_like=True):
        machine: str
        number: int

    assert msgspec.json.decode(b'["host-1",7,"j-1/0",1]', type=OldDesiredAttempt).number == 7
