"""The command planner's decisions from an attempt's desired and observed state, without I/O.

Guards against starts that are executed twice or after a cancellation, and against attempts that are
declared gone while a start command for them may still be executed.
"""

from __future__ import annotations

from typing import Any

import pytest

from beamspar.cluster.state_mirror import StateMirror
from beamspar.machines.command_planning import CommandPlanner
from beamspar.machines.machine_summaries import MachineSummaries
from beamspar.machines.managed_machine import AttemptKey, ManagedMachine, SentStart
from beamspar.machines.preemption import choose_victims
from beamspar.machines.resources import Resources
from beamspar.protocol.cloud import MachineType
from beamspar.protocol.peer_messages import AttemptState, DesiredAction, DesiredAttempt
from beamspar.protocol.task_entries import MAX_LIST_BYTES
from beamspar.protocol.workers import ClearCommand, StartCommand, StopCommand, TaskStatus
from beamspar.settings import OperatorSettings
from beamspar.state.control_records import Machine
from beamspar.timeouts import Timeouts
from tests.standins.clock import SimClock
from tests.test_quota_manager import settings

KEY = AttemptKey("j-1/0", 1)
SMALL = MachineType("small", 4.0, 0.0, 16.0, zones=["east"], cache_gb=50.0)
TOKEN = 7


def planner() -> CommandPlanner:
    clock, timeouts = SimClock(), Timeouts(settings(), OperatorSettings())
    unused: Any = None
    mirror = StateMirror(clock, unused, settings(), timeouts, lambda member, version: None)
    mirror.revision = TOKEN
    summaries = MachineSummaries(clock, timeouts, lambda: {"small": SMALL})
    return CommandPlanner(clock, mirror, summaries, timeouts)


def desired_attempt(
    key: AttemptKey, action: DesiredAction, cpus: float = 1.0, rank: int = 0, **options
):
    return DesiredAttempt("m-1", TOKEN, *key, action, cpus, rank=rank, **options)


def machine(*desired: DesiredAttempt) -> ManagedMachine:
    """Return a machine whose worker has confirmed the command token."""
    host = ManagedMachine(Machine("m-1", "m-1:9", "small", "east"), TOKEN, 0.0, 0.0)
    host.confirmed_token = TOKEN
    for attempt in desired:
        host.desired_attempts[AttemptKey(attempt.task, attempt.attempt)] = attempt
    host.mark_all_changed()
    return host


def record_sent_start(host: ManagedMachine, is_answered: bool, is_indeterminate: bool) -> None:
    host.starts[KEY] = SentStart(1, TOKEN, is_answered, is_indeterminate)


def test_an_attempt_that_fits_is_started() -> None:
    assert planner().plan_starts(machine(desired_attempt(KEY, DesiredAction.RUN))) == [
        StartCommand(*KEY)
    ]


def test_no_start_is_planned_before_the_worker_confirms_the_token() -> None:
    host = machine(
        desired_attempt(KEY, DesiredAction.STOP),
        desired_attempt(AttemptKey("j-2/0", 1), DesiredAction.RUN),
    )
    host.confirmed_token = 0
    assert planner().plan_starts(host) == [] and host.terminated == {}


@pytest.mark.parametrize("action", [DesiredAction.RUN, DesiredAction.HOLD])
def test_an_attempt_that_does_not_fit_is_refused(action: DesiredAction) -> None:
    host = machine(desired_attempt(KEY, action, cpus=5.0))
    assert planner().plan_starts(host) == []
    assert host.terminated == {KEY: AttemptState.REFUSED}


def test_attempts_of_higher_priority_are_checked_first() -> None:
    low, high = AttemptKey("j-low/0", 1), AttemptKey("j-high/0", 1)
    host = machine(
        desired_attempt(low, DesiredAction.RUN, 3.0, rank=2),
        desired_attempt(high, DesiredAction.RUN, 3.0, rank=0),
    )
    planner().plan_starts(host)
    # Each attempt counts as using its resources until it is refused.
    assert host.terminated[high] == AttemptState.REFUSED and low not in host.terminated


def test_no_attempt_is_started_or_refused_during_a_pause() -> None:
    host = machine(desired_attempt(KEY, DesiredAction.RUN))
    host.starts_paused_until = 5.0
    assert planner().plan_starts(host) == [] and host.terminated == {}


@pytest.mark.parametrize("action", [DesiredAction.STOP, DesiredAction.CLEAR])
def test_an_unwanted_attempt_that_was_never_started_is_declared_gone(action: DesiredAction) -> None:
    host = machine(desired_attempt(KEY, action))
    planner().plan_starts(host)
    assert host.terminated == {KEY: AttemptState.GONE}


def test_an_executed_attempt_that_is_no_longer_reported_is_gone_once_its_start_is_superseded() -> (
    None
):
    """Guards against ran_twice: a copy of the start runs the attempt again beside its next one."""
    command_planner, host = planner(), machine(desired_attempt(KEY, DesiredAction.RUN))
    record_sent_start(host, is_answered=True, is_indeterminate=False)
    assert command_planner.plan_starts(host) == [] and host.terminated == {}
    command_planner.mirror.revision = TOKEN + 1
    assert command_planner.plan_starts(host) == [] and host.terminated == {}
    assert host.command_token == TOKEN + 1
    host.confirmed_token = TOKEN + 1
    assert command_planner.plan_starts(host) == []
    assert host.terminated == {KEY: AttemptState.GONE}


@pytest.mark.parametrize("is_answered", [False, True])
def test_an_unwanted_indeterminate_start_is_superseded_before_it_is_declared_gone(
    is_answered: bool,
) -> None:
    command_planner, host = planner(), machine(desired_attempt(KEY, DesiredAction.STOP))
    record_sent_start(host, is_answered, is_indeterminate=True)
    command_planner.plan_starts(host)
    assert host.command_token == TOKEN and host.terminated == {}, (
        "the mirror contains no newer revision yet"
    )
    command_planner.mirror.revision = TOKEN + 1
    command_planner.plan_starts(host)
    assert host.command_token == TOKEN + 1 and not host.has_confirmed_token
    assert host.terminated == {}, "the worker has not confirmed the token"
    host.confirmed_token = TOKEN + 1
    command_planner.plan_starts(host)
    assert host.terminated == {KEY: AttemptState.GONE}


def test_the_token_is_not_raised_while_commands_are_being_sent() -> None:
    command_planner, host = planner(), machine(desired_attempt(KEY, DesiredAction.STOP))
    command_planner.mirror.revision = TOKEN + 1
    record_sent_start(host, is_answered=False, is_indeterminate=True)
    host.is_sending_commands = True
    command_planner.plan_starts(host)
    assert host.command_token == TOKEN and host.terminated == {}


@pytest.mark.parametrize("is_indeterminate", [False, True])
@pytest.mark.parametrize("is_answered", [False, True])
@pytest.mark.parametrize("reason", ["done", "error", "stopped", "no_room", "in_use", "unknown"])
def test_an_ended_attempt_is_cleared_only_under_a_higher_token_than_its_start(
    reason: str, is_answered: bool, is_indeterminate: bool
) -> None:
    """Guards against ran_twice: a copy of the start runs an attempt that the worker forgot."""
    command_planner, host = planner(), machine(desired_attempt(KEY, DesiredAction.CLEAR))
    host.tasks[KEY] = TaskStatus(*KEY, "ended", reason)
    record_sent_start(host, is_answered, is_indeterminate)
    command_planner.raise_token_for_clears(host)
    assert command_planner.plan_stops_and_clears(host) == [], "there is no newer revision yet"
    assert command_planner.clears_on_hold(host) == [KEY]
    command_planner.mirror.revision = TOKEN + 1
    command_planner.raise_token_for_clears(host)
    assert host.command_token == TOKEN + 1
    assert command_planner.plan_stops_and_clears(host) == [ClearCommand(*KEY)]
    assert command_planner.clears_on_hold(host) == [] and command_planner.raised_tokens == 1


def test_a_clear_of_an_earlier_holders_attempt_needs_no_higher_token() -> None:
    command_planner, host = planner(), machine(desired_attempt(KEY, DesiredAction.CLEAR))
    host.tasks[KEY] = TaskStatus(*KEY, "ended", "done")
    command_planner.mirror.revision = TOKEN + 1
    command_planner.raise_token_for_clears(host)
    assert host.command_token == TOKEN
    assert command_planner.plan_stops_and_clears(host) == [ClearCommand(*KEY)]


def test_the_token_is_not_raised_for_clears_while_a_start_is_being_sent() -> None:
    """Guards against a start that is recorded with another token than the one it carries."""
    command_planner, host = planner(), machine(desired_attempt(KEY, DesiredAction.CLEAR))
    host.tasks[KEY] = TaskStatus(*KEY, "ended", "done")
    record_sent_start(host, is_answered=True, is_indeterminate=False)
    command_planner.mirror.revision = TOKEN + 1
    host.is_sending_commands = True
    command_planner.raise_token_for_clears(host)
    assert host.command_token == TOKEN


@pytest.mark.parametrize("status", ["fetching", "running", "saving"])
def test_an_attempt_that_is_over_by_its_record_and_runs_is_stopped_at_once(status: str) -> None:
    """Guards against an attempt that runs on beside the next one until its clear expires."""
    command_planner, host = planner(), machine(desired_attempt(KEY, DesiredAction.CLEAR))
    host.tasks[KEY] = TaskStatus(*KEY, status)
    assert command_planner.plan_stops_and_clears(host) == [StopCommand(*KEY, 0.0)]


def test_a_cancelled_job_is_stopped_without_a_grace_period() -> None:
    command_planner = planner()
    host = machine(desired_attempt(KEY, DesiredAction.RUN, saves_checkpoint=True, save_s=4.0))
    host.tasks[KEY] = TaskStatus(*KEY, "running")
    assert command_planner.plan_stops_and_clears(host) == []
    host.termination_notice_s = 30.0
    assert command_planner.plan_stops_and_clears(host) == [StopCommand(*KEY, 6.0)]
    command_planner.mirror.cancelled.add("j-1")
    assert command_planner.plan_stops_and_clears(host) == [StopCommand(*KEY, 0.0)]


def test_preemption_stops_the_lowest_priority_first_and_no_more_than_needed() -> None:
    lower = [
        desired_attempt(
            AttemptKey(f"j-low-{n}/0", 1), DesiredAction.RUN, 2.0, rank=rank, is_in_gang=gang
        )
        for n, (rank, gang) in enumerate([(1, False), (3, True), (3, False)])
    ]
    desired = desired_attempt(KEY, DesiredAction.RUN, 4.0, rank=1)
    host = machine(desired, *lower)
    free = Resources(0.0, 0.0, 16.0, MAX_LIST_BYTES)
    victims = choose_victims(host, KEY, desired, free)
    assert victims is not None
    assert [key.task for key, _ in victims] == ["j-low-2/0", "j-low-1/0"]
    assert (
        choose_victims(host, KEY, desired_attempt(KEY, DesiredAction.RUN, 5.0, rank=1), free)
        is None
    )
    assert choose_victims(host, KEY, desired, Resources(4.0, 0.0, 16.0, MAX_LIST_BYTES)) == []
