"""What follows for one attempt from its desired and its observed state, decided without I/O."""

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


def wants(key: AttemptKey, action: DesiredAction, cpus: float = 1.0, rank: int = 0, **options):
    return DesiredAttempt("m-1", TOKEN, *key, action, cpus, rank=rank, **options)


def machine(*desired: DesiredAttempt) -> ManagedMachine:
    """A machine whose worker has confirmed our token."""
    made = ManagedMachine(Machine("m-1", "m-1:9", "small", "east"), TOKEN, 0.0, 0.0)
    made.has_confirmed_token = True
    for attempt in desired:
        made.desired_attempts[AttemptKey(attempt.task, attempt.attempt)] = attempt
    made.mark_all_changed()
    return made


def sent(made: ManagedMachine, is_answered: bool, is_indeterminate: bool) -> None:
    made.starts[KEY] = SentStart(1, TOKEN, is_answered, is_indeterminate)


def test_an_attempt_that_fits_is_started() -> None:
    assert planner().plan_starts(machine(wants(KEY, DesiredAction.RUN))) == [StartCommand(*KEY)]


def test_nothing_is_decided_before_the_worker_confirms_the_token() -> None:
    made = machine(wants(KEY, DesiredAction.STOP), wants(AttemptKey("j-2/0", 1), DesiredAction.RUN))
    made.has_confirmed_token = False
    assert planner().plan_starts(made) == [] and made.terminated == {}


@pytest.mark.parametrize("action", [DesiredAction.RUN, DesiredAction.HOLD])
def test_what_does_not_fit_is_refused(action: DesiredAction) -> None:
    made = machine(wants(KEY, action, cpus=5.0))
    assert planner().plan_starts(made) == []
    assert made.terminated == {KEY: AttemptState.REFUSED}


def test_a_higher_priority_is_looked_at_first() -> None:
    low, high = AttemptKey("j-low/0", 1), AttemptKey("j-high/0", 1)
    made = machine(
        wants(low, DesiredAction.RUN, 3.0, rank=2), wants(high, DesiredAction.RUN, 3.0, rank=0)
    )
    planner().plan_starts(made)
    # Each counts as using its room until it is refused.
    assert made.terminated[high] == AttemptState.REFUSED and low not in made.terminated


def test_starts_wait_during_a_pause() -> None:
    made = machine(wants(KEY, DesiredAction.RUN))
    made.starts_paused_until = 5.0
    assert planner().plan_starts(made) == [] and made.terminated == {}


@pytest.mark.parametrize("action", [DesiredAction.STOP, DesiredAction.CLEAR])
def test_what_was_never_started_is_gone(action: DesiredAction) -> None:
    made = machine(wants(KEY, action))
    planner().plan_starts(made)
    assert made.terminated == {KEY: AttemptState.GONE}


def test_a_start_that_was_executed_and_is_not_listed_any_more_is_gone() -> None:
    made = machine(wants(KEY, DesiredAction.RUN))
    sent(made, is_answered=True, is_indeterminate=False)
    assert planner().plan_starts(made) == []
    assert made.terminated == {KEY: AttemptState.GONE}


@pytest.mark.parametrize("is_answered", [False, True])
def test_an_indeterminate_start_that_is_not_wanted_is_superseded_first(is_answered: bool) -> None:
    planning, made = planner(), machine(wants(KEY, DesiredAction.STOP))
    sent(made, is_answered, is_indeterminate=True)
    planning.plan_starts(made)
    assert made.command_token == TOKEN and made.terminated == {}, "no newer token is ours yet"
    planning.mirror.revision = TOKEN + 1
    planning.plan_starts(made)
    assert made.command_token == TOKEN + 1 and not made.has_confirmed_token
    assert made.terminated == {}, "the worker has not confirmed the token"
    made.has_confirmed_token = True
    planning.plan_starts(made)
    assert made.terminated == {KEY: AttemptState.GONE}


def test_the_token_is_not_raised_while_commands_are_under_way() -> None:
    planning, made = planner(), machine(wants(KEY, DesiredAction.STOP))
    planning.mirror.revision = TOKEN + 1
    sent(made, is_answered=False, is_indeterminate=True)
    made.is_sending_commands = True
    planning.plan_starts(made)
    assert made.command_token == TOKEN and made.terminated == {}


def test_an_ended_attempt_is_not_cleared_while_its_start_is_indeterminate() -> None:
    planning, made = planner(), machine(wants(KEY, DesiredAction.CLEAR))
    made.tasks[KEY] = TaskStatus(*KEY, "ended", "done")
    sent(made, is_answered=True, is_indeterminate=True)
    assert planning.plan_stops_and_clears(made) == []
    made.starts[KEY].is_indeterminate = False
    assert planning.plan_stops_and_clears(made) == [ClearCommand(*KEY)]


def test_a_cancelled_job_stops_without_time_to_save() -> None:
    planning = planner()
    made = machine(wants(KEY, DesiredAction.RUN, saves=True, save_s=4.0))
    made.tasks[KEY] = TaskStatus(*KEY, "running")
    assert planning.plan_stops_and_clears(made) == []
    made.termination_notice_s = 30.0
    assert planning.plan_stops_and_clears(made) == [StopCommand(*KEY, 6.0)]
    planning.mirror.cancelled.add("j-1")
    assert planning.plan_stops_and_clears(made) == [StopCommand(*KEY, 0.0)]


def test_preemption_takes_the_lowest_work_first_and_no_more_than_needed() -> None:
    lower = [
        wants(AttemptKey(f"j-low-{n}/0", 1), DesiredAction.RUN, 2.0, rank=rank, gang=gang)
        for n, (rank, gang) in enumerate([(1, False), (3, True), (3, False)])
    ]
    desired = wants(KEY, DesiredAction.RUN, 4.0, rank=1)
    made = machine(desired, *lower)
    free = Resources(0.0, 0.0, 16.0)
    victims = choose_victims(made, KEY, desired, free)
    assert victims is not None
    assert [key.task for key, _ in victims] == ["j-low-2/0", "j-low-1/0"]
    assert choose_victims(made, KEY, wants(KEY, DesiredAction.RUN, 5.0, rank=1), free) is None
    assert choose_victims(made, KEY, desired, Resources(4.0, 0.0, 16.0)) == []
