"""The checker of leaders' histories detects each kind of fault."""

from __future__ import annotations

from typing import Any

import pytest

from beamspar.decision_log.decisions import InstanceRequestAbandoned, MachinesStarted
from tests.standins.history import LeaderHistory

DECISION, OTHER_DECISION = MachinesStarted(["host-1"]), InstanceRequestAbandoned("r-1")


def shard(revision: int, name: str, *machines: str, with_leader: bool = True) -> list[Any]:
    data = {"holder": "rig-0", "machines": [{"name": machine} for machine in machines]}
    events = [(revision, {"put": f"c/block/{name}", "data": data, "entry_rev": revision})]
    if with_leader:
        events.append((revision, {"put": "c/leader", "data": {}, "entry_rev": revision}))
    return events


def test_a_sound_history_has_no_faults() -> None:
    history = LeaderHistory()
    history.decided(5, 1, DECISION)
    history.decided(5, 2, OTHER_DECISION)
    history.restored(1, 5, 0)
    history.replicated(1, 5, 1, DECISION)
    history.replicated(1, 5, 2, OTHER_DECISION)
    history.restored(1, 9, 0)
    history.stored(shard(3, "a", "host-1") + shard(4, "a", "host-1", "host-2"))
    assert history.faults == []


@pytest.mark.parametrize(
    ("expected", "steps"),
    [
        ("two decisions", [("decided", 5, 1, DECISION), ("decided", 5, 1, OTHER_DECISION)]),
        (
            "not what was decided",
            [("decided", 5, 1, DECISION), ("replicated", 1, 5, 1, OTHER_DECISION)],
        ),
        (
            "is applied after",
            [
                ("decided", 5, 1, DECISION),
                ("replicated", 1, 5, 1, DECISION),
                ("replicated", 1, 5, 1, DECISION),
            ],
        ),
        (
            "is applied after",
            [("decided", 5, 2, DECISION), ("restored", 1, 5, 0), ("replicated", 1, 5, 2, DECISION)],
        ),
        (
            "is applied after",
            [("decided", 4, 1, DECISION), ("restored", 1, 5, 0), ("replicated", 1, 4, 1, DECISION)],
        ),
        ("replaces", [("restored", 1, 5, 7), ("restored", 1, 5, 6)]),
        ("replaces", [("restored", 1, 5, 0), ("restored", 1, 4, 9)]),
        ("without the lead", [("stored", shard(3, "a", "host-1", with_leader=False))]),
        ("in two blocks", [("stored", shard(3, "a", "host-1") + shard(4, "b", "host-1"))]),
    ],
)
def test_a_fault_is_detected(expected: str, steps: list[tuple[Any, ...]]) -> None:
    history = LeaderHistory()
    for name, *arguments in steps:
        assert history.faults == [], (
            f"a fault was found before the faulty step {name}: {history.faults}"
        )
        getattr(history, name)(*arguments)
    assert any(expected in fault for fault in history.faults), history.faults
