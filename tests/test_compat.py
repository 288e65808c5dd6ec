"""What production writes and sends is read here, and what is written here is read there.

`fixtures/production.json` holds records and messages as production's release writes them, made
by playing it on the stand-ins.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from beamspar.protocol import peer_messages as messages
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.room import Room
from beamspar.state import job_records as records
from beamspar.state.control_records import MachineShard, shard_record
from tests.standins import releases

FIXTURE = json.loads((Path(__file__).parent / "fixtures" / "production.json").read_text())
RECORD_TYPES = {"job/": "JobRecord", "task/": "Chunk", "end/": "EndRecord"}
# Each message's type, and its answer's.
MESSAGE_TYPES: dict[str, tuple[Any, Any]] = {
    "sync": (list[messages.DesiredStateUpdate], messages.AttemptStatusBatch),
    "statuses": (messages.AttemptStatusBatch, None),
    "asks": (messages.CapacityRequestBatch, messages.CapacityOffers),
    "beat": (messages.MemberHeartbeat, messages.HeartbeatResponse),
    "pulse": (None, messages.HealthProbeResponse),
    "withdrawn": (messages.CancellationNotice, None),
}


def holds(new: Any, old: Any) -> bool:
    """Is all of the old form in the new one, which may only add to it?"""
    if isinstance(old, dict):
        return all(key in new and holds(new[key], value) for key, value in old.items())
    if isinstance(old, list):
        return len(new) >= len(old) and all(map(holds, new, old))
    return bool(new == old)


@pytest.mark.parametrize("key", sorted(FIXTURE["records"]))
def test_a_stored_record_keeps_its_form(key: str) -> None:
    value = FIXTURE["records"][key]
    for prefix, name in RECORD_TYPES.items():
        if key.startswith(prefix):
            record = msgspec.convert(value, getattr(records, name))
            assert holds(msgspec.to_builtins(record), value)
    if key.startswith("job/"):
        spec = msgspec.to_builtins(msgspec.convert(value["s"], JobSpec))
        assert holds(spec, value["s"])
    if key.startswith("c/block/"):
        shard = msgspec.convert(value, MachineShard)
        assert (
            shard_record(
                shard.holder,
                shard.machines,
                shard.previous_holder_may_act,
                shard.kept_fencing_token,
            )
            == value
        )


def test_every_kind_of_record_is_there() -> None:
    kinds = {key.split("/")[0] for key in FIXTURE["records"]}
    control = {key.split("/")[1] for key in FIXTURE["records"] if key.startswith("c/")}
    assert kinds == {"job", "task", "end", "c"}
    assert control == {"fence", "member", "folio", "block", "budget", "w", "leader", "types"}


@pytest.mark.parametrize("name", sorted(FIXTURE["messages"]))
def test_a_message_of_production_is_read(name: str) -> None:
    sent, answer = MESSAGE_TYPES[name]
    if sent is not None:
        value = FIXTURE["messages"][name]["sent"]
        assert holds(msgspec.to_builtins(msgspec.convert(value, sent)), value)
    if answer is not None:
        value = FIXTURE["messages"][name]["answer"]
        assert holds(msgspec.to_builtins(msgspec.convert(value, answer)), value)


def test_our_messages_are_read_by_production() -> None:
    old = releases.production().module("control.messages")
    desired = messages.DesiredAttempt(
        "host-1", 7, "j-1/0", 2, messages.DesiredAction.RUN, gang=True
    )
    sync = messages.DesiredStateUpdate("rig-0", "rig-0.1", 3, 1, 9, [desired])
    read = old.decode(messages.encode([sync]), list[old.Sync])
    assert read[0].wants[0].task == "j-1/0" and not hasattr(read[0].wants[0], "gang")
    room = Room("host-1", "small", "east", False, 4.0, 0.0, 16.0)
    view = messages.MachineStatus(room, 7, True, False, False, False, False, False, 0.1, 2.0)
    summary = messages.MemberHeartbeat("rig-0", 1, [view])
    assert old.decode(messages.encode(summary), old.Summary).views[0].room.name == "host-1"
    directions = messages.HeartbeatResponse(True, True, True)
    assert old.decode(messages.encode(directions), old.Directions).taken


def test_production_reads_what_we_store_before_all_are_new() -> None:
    old = releases.production().module("control.records")
    record = records.JobRecord({}, "rig-0.1", chunk=records.Chunk(bound=[(0, 1, "host-1")]))
    read = msgspec.convert(msgspec.to_builtins(record), old.JobRecord)
    # It would lose the layout when it writes the record anew.
    assert read.chunk.bound == [(0, 1, "host-1")] and not hasattr(read, "per")
    assert record.tasks_per_chunk is None
