"""A burst of cancellations delays other requests no longer than it takes itself.

Users cancel many jobs within a fifth of a second, submit others, and ask about some that run on.
"""

from __future__ import annotations

import itertools
import math

import msgspec
import pytest

from tests.standins.world import ZONES, World

KEPT = [f"j-{number}" for number in range(900, 906)]
NEW = [f"j-{number}" for number in range(910, 916)]
# As at the smaller of the users' deployments.
REQUESTS_PER_S, CHANGES_PER_S = 200.0, 25.0
# The changes of one cancellation: the job's record and its mark.
CHANGES_PER_CANCELLATION = 2
SUBMISSION_INTERVAL_S = 0.15
POLL_INTERVAL_S = 1.0
# How long a job may take from its accept until it runs.
MAX_START_S = 3.0


class BurstResult(msgspec.Struct):
    """What users saw of a burst; times in seconds."""

    # From its beginning until the last user was told that the job is cancelled.
    last_confirmation_s: float
    # The longest time without an answer to a question about one of the other jobs.
    longest_silence_s: float
    # The longest time from the submission of a job during the burst until it ran.
    longest_start_s: float
    # The requests that the state service refused for its rate.
    refusals: int
    # The changes that it carried out a second until the last confirmation.
    changes_per_s: float


class Burst:
    """Plays one burst in a deployment that has room for all jobs."""

    def __init__(self, count: int) -> None:
        self.world = World(
            state={"rps": REQUESTS_PER_S, "write_rps": CHANGES_PER_S},
            machines=[{"kind": "big", "zone": zone, "count": 1 + count // 60} for zone in ZONES],
        )
        self.jobs = [f"j-{number}" for number in range(count)]
        self.burst_s = CHANGES_PER_CANCELLATION * count / CHANGES_PER_S
        self.answered_at: dict[str, list[float]] = {}
        self.ran_at: dict[str, float] = {}
        self.last_confirmed_at = math.inf
        self.changes_until_confirmed = 0

    def play(self) -> BurstResult:
        world = self.world
        world.run(8)
        self._submit([*self.jobs, *KEPT])
        world.run(8 + SUBMISSION_INTERVAL_S * len(self.jobs) + 20)
        assert all(world.running(job) == 1 for job in (*self.jobs, *KEPT))
        began_at = world.clock.seconds()
        refusals, changes = world.state.throttled_count, len(world.state.history)
        for job in KEPT:
            self.answered_at[job] = [began_at]
            self._poll(job)
        world.cancel_now(self.jobs)
        self._submit(NEW)
        self._observe()
        ends_at = began_at + 3 * self.burst_s + 60
        world.run(ends_at)
        assert world.checker.broken == []
        duration_s = min(self.last_confirmed_at, ends_at) - began_at
        return BurstResult(
            self.last_confirmed_at - began_at,
            max(
                later - earlier
                for times in self.answered_at.values()
                for earlier, later in itertools.pairwise([*times, ends_at])
            ),
            max(self.ran_at.get(job, math.inf) - began_at for job in NEW),
            world.state.throttled_count - refusals,
            ((self.changes_until_confirmed or len(world.state.history)) - changes) / duration_s,
        )

    def _submit(self, jobs: list[str]) -> None:
        world = self.world
        for number, job in enumerate(jobs):
            node = world.names[number % len(world.names)]
            world.clock.callLater(SUBMISSION_INTERVAL_S * number, world.submit, job, node)

    def _poll(self, job: str) -> None:
        world = self.world

        def on_response(result: tuple[int, object]) -> None:
            if result[0] == 200:
                self.answered_at[job].append(world.clock.seconds())

        node = world.rng.choice(world.names)
        world.call(node, "GET", f"/submissions/{job}").addCallback(on_response)
        world.clock.callLater(POLL_INTERVAL_S, self._poll, job)

    def _observe(self) -> None:
        """Record when jobs run, and what was changed when the last cancellation is confirmed."""
        world = self.world
        for job in NEW:
            if job in world.checker.jobs and world.running(job):
                self.ran_at.setdefault(job, world.clock.seconds())
        final_states = world.checker.final_states
        if not self.changes_until_confirmed and all(job in final_states for job in self.jobs):
            self.last_confirmed_at = max(final_states[job][1] for job in self.jobs)
            self.changes_until_confirmed = len(world.state.history)
        world.clock.callLater(0.1, self._observe)


@pytest.mark.parametrize("count", [50, 200])
def test_a_burst_of_cancellations_delays_others_no_longer_than_it_takes(count: int) -> None:
    """Guards against forgotten: after a burst no question was answered for more than 75 s."""
    burst = Burst(count)
    result = burst.play()
    assert result.longest_silence_s < burst.burst_s, result
    # A start takes an accept, which waits for the cancellations, then the fetch of an image.
    assert result.longest_start_s < burst.burst_s + MAX_START_S, result
