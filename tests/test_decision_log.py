"""The leader's log and its replicas: order, gaps, snapshots, older terms, bounded memory."""

from __future__ import annotations

import random

import pytest

from beamspar.decision_log.decision_log import (
    ENTRIES_PER_MESSAGE,
    LOG_ENTRIES,
    DecisionLog,
)
from beamspar.decision_log.decisions import (
    CacheChanged,
    Decision,
    InstanceRequestAbandoned,
    InstancesGranted,
    InstancesRefused,
    InstancesRequested,
    LeaderState,
    MachinesDeleted,
    MachinesStarted,
    Place,
)
from beamspar.decision_log.messages import FollowReply, LogEntry
from beamspar.decision_log.replica import RejectedReplyError, Replica
from beamspar.protocol.peer_messages import MAX_PEER_MESSAGE_BYTES, decode, encode
from tests.standins.clock import SimClock

PLACES: list[Place] = [("big", "east", False), ("small", "west", True)]


def make_log_and_replica() -> tuple[SimClock, DecisionLog, Replica]:
    clock = SimClock()
    log = DecisionLog(clock, LeaderState())
    log.start_term(7)
    return clock, log, Replica(clock, LeaderState())


def catch_up(log: DecisionLog, replica: Replica, max_messages: int = 100) -> int:
    """Fetch and apply encoded replies until none is left; return the number of messages."""
    for count in range(1, max_messages):
        reply = log.reply_to_follower(replica.next_request("rig-1"), [])
        body = encode(reply)
        assert len(body) < MAX_PEER_MESSAGE_BYTES
        if not replica.apply(decode(body, FollowReply)):
            return count
    raise AssertionError(f"the replica did not catch up within {max_messages} messages")


def random_decision(rng: random.Random, number: int) -> Decision:
    place = rng.choice(PLACES)
    name = f"rig-0.1.{rng.randrange(20)}"
    machines = [f"host-{rng.randrange(50)}"]
    return rng.choice(
        [
            InstancesRequested(name, place, 3),
            InstancesGranted(name, place, machines, rng.choice([0.0, 8.0])),
            InstancesRefused(name, place, 4.0),
            InstanceRequestAbandoned(name),
            MachinesStarted(machines),
            MachinesDeleted(machines, [place]),
            CacheChanged(machines[0], rng.choice([{}, {f"image-{number}": 2.0}])),
        ]
    )


def comparable(state: LeaderState, now: float) -> object:
    """Return the state in a comparable form, with times rounded to microseconds."""
    return (
        state.pending,
        {m: (b.kind, b.zone, b.spot, round(b.since, 6)) for m, b in state.booting.items()},
        {p: (round(until - now, 6), pause) for p, (until, pause) in state.refusals.items()},
        state.deleted_machines,
        {machine: images for machine, (images, _) in state.caches.items()},
    )


@pytest.mark.parametrize("seed", range(5))
def test_a_replica_equals_the_original_however_it_caught_up(seed: int) -> None:
    rng = random.Random(seed)
    clock, log, replica = make_log_and_replica()
    for number in range(600):
        log.record(random_decision(rng, number))
        clock.advance_to(clock.now + rng.random())
        if rng.random() < 0.05:
            catch_up(log, replica)
            assert comparable(replica.state, clock.now) == comparable(log.state, clock.now)
            assert (replica.term, replica.index, replica.lag) == (7, log.index, 0)
        if rng.random() < 0.02:
            # The follower has restarted, or another term has begun.
            replica = Replica(clock, LeaderState())


def test_each_entry_is_applied_once_and_in_order() -> None:
    _, log, replica = make_log_and_replica()
    catch_up(log, replica)
    log.record(InstancesRequested("r-1", PLACES[0], 1))
    reply = log.reply_to_follower(replica.next_request("rig-1"), [])
    replica.apply(reply)
    log.record(InstanceRequestAbandoned("r-1"))
    replica.apply(log.reply_to_follower(replica.next_request("rig-1"), []))
    # A late duplicate of the first reply must not restore the request.
    replica.apply(reply)
    assert replica.index == 2 and replica.state.pending == {}


def test_a_gap_is_detected_and_closed_by_a_snapshot() -> None:
    _, log, replica = make_log_and_replica()
    catch_up(log, replica)
    log.record(InstancesRequested("r-1", PLACES[0], 1))
    with pytest.raises(RejectedReplyError, match="gap"):
        replica.apply(FollowReply(7, 3, [LogEntry(3, 0.0, InstanceRequestAbandoned("r-1"))]))
    assert replica.state.pending == {} and replica.index == 0
    catch_up(log, replica)
    assert set(replica.state.pending) == {"r-1"} and replica.index == 1


def test_entries_of_an_older_term_are_rejected() -> None:
    _, log, replica = make_log_and_replica()
    log.record(InstancesRequested("r-1", PLACES[0], 1))
    catch_up(log, replica)
    old_log = DecisionLog(SimClock(), LeaderState())
    old_log.start_term(6)
    old_log.record(InstancesRequested("r-old", PLACES[0], 1))
    with pytest.raises(RejectedReplyError, match="over"):
        replica.apply(old_log.reply_to_follower(replica.next_request("rig-1"), []))
    assert set(replica.state.pending) == {"r-1"}
    replica.restart()
    with pytest.raises(RejectedReplyError, match="over"):
        replica.apply(old_log.reply_to_follower(replica.next_request("rig-1"), []))


def test_a_new_term_begins_with_a_snapshot_though_the_index_is_the_same() -> None:
    clock, log, replica = make_log_and_replica()
    log.record(InstancesRequested("r-1", PLACES[0], 1))
    catch_up(log, replica)
    successor_log = DecisionLog(clock, LeaderState())
    successor_log.start_term(9)
    successor_log.record(InstancesRequested("r-2", PLACES[0], 1))
    catch_up(successor_log, replica)
    assert set(replica.state.pending) == {"r-2"} and replica.term == 9


def test_a_lagging_follower_costs_bounded_memory_and_receives_a_snapshot() -> None:
    _, log, replica = make_log_and_replica()
    catch_up(log, replica)
    for number in range(LOG_ENTRIES * 3):
        log.record(CacheChanged(f"host-{number}", {"image": 1.0}))
    assert len(log.recent_entries) == LOG_ENTRIES
    messages = catch_up(log, replica)
    assert messages == -(-LOG_ENTRIES * 3 // ENTRIES_PER_MESSAGE)
    assert replica.state.caches.keys() == log.state.caches.keys()
    assert log.snapshot_transfers.keys() <= {"rig-1"}


def test_decisions_during_a_snapshot_follow_it() -> None:
    _, log, replica = make_log_and_replica()
    for number in range(ENTRIES_PER_MESSAGE + 10):
        log.record(CacheChanged(f"host-{number}", {"image": 1.0}))
    assert replica.apply(log.reply_to_follower(replica.next_request("rig-1"), []))
    log.record(CacheChanged("host-0", {}))
    log.record(CacheChanged("host-new", {"image": 1.0}))
    catch_up(log, replica)
    assert replica.state.caches.keys() == log.state.caches.keys()
    assert replica.index == log.index


def test_a_restarted_snapshot_replaces_the_parts_of_the_previous_one() -> None:
    _, log, replica = make_log_and_replica()
    for number in range(ENTRIES_PER_MESSAGE * 2):
        log.record(CacheChanged(f"host-{number}", {"image": 1.0}))
    assert replica.apply(log.reply_to_follower(replica.next_request("rig-1"), []))
    assert len(replica.snapshot_parts) == ENTRIES_PER_MESSAGE
    # The leader is now a successor with other machines, which has no record of the transfer.
    log.start_term(8)
    log.record(CacheChanged("host-0", {}))
    catch_up(log, replica)
    assert "host-0" not in replica.state.caches
    assert replica.state.caches.keys() == log.state.caches.keys()


def test_a_controller_that_does_not_lead_sends_no_entries() -> None:
    _, log, replica = make_log_and_replica()
    log.record(InstancesRequested("r-1", PLACES[0], 1))
    log.end_term()
    reply = log.reply_to_follower(replica.next_request("rig-1"), ["rig-1"])
    assert reply == FollowReply()
    # Decisions of another leader are applied to the same state, without a number.
    log.record(InstanceRequestAbandoned("r-1"))
    assert log.index == 0 and not log.recent_entries and log.state.pending == {}
