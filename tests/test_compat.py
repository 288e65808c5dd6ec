"""Compatibility with the release in production, for stored records and for peer messages.

This release must read what production's release writes and sends, and vice versa.
`fixtures/production.json` contains records and messages of production's release, recorded by
running it on the stand-ins.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from beamspar.protocol import peer_messages as messages
from beamspar.protocol.jobs import JobSpec
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.state import job_records as records
from beamspar.state.control_records import MachineShard, shard_record
from tests.standins import releases

FIXTURE = json.loads((Path(__file__).parent / "fixtures" / "production.json").read_text())
RECORD_TYPES = {"job/": "JobRecord", "task/": "Chunk", "end/": "EndRecord"}
# The types of each message and of its reply; None if there is none to read.
MESSAGE_TYPES: dict[str, tuple[Any, Any]] = {
    "sync": (list[messages.DesiredStateUpdate], messages.AttemptStatusBatch),
    "statuses": (messages.AttemptStatusBatch, None),
    "asks": (messages.CapacityRequestBatch, messages.CapacityOffers),
    "beat": (messages.MemberHeartbeat, messages.HeartbeatResponse),
    "pulse": (None, messages.HealthProbeResponse),
    "withdrawn": (messages.CancellationNotice, None),
}


def contains(new: Any, old: Any) -> bool:
    """Return whether the new form contains all of the old one, to which it may only add."""
    if isinstance(old, dict):
        return all(key in new and contains(new[key], value) for key, value in old.items())
    if isinstance(old, list):
        return len(new) >= len(old) and all(map(contains, new, old))
    return bool(new == old)


@pytest.mark.parametrize("key", sorted(FIXTURE["records"]))
def test_a_stored_record_keeps_its_form(key: str) -> None:
    value = FIXTURE["records"][key]
    for prefix, name in RECORD_TYPES.items():
        if key.startswith(prefix):
            record = msgspec.convert(value, getattr(records, name))
            assert contains(msgspec.to_builtins(record), value)
    if key.startswith("job/"):
        spec = msgspec.to_builtins(msgspec.convert(value["s"], JobSpec))
        assert contains(spec, value["s"])
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


def test_the_fixture_contains_every_kind_of_record() -> None:
    kinds = {key.split("/")[0] for key in FIXTURE["records"]}
    control = {key.split("/")[1] for key in FIXTURE["records"] if key.startswith("c/")}
    assert kinds == {"job", "task", "end", "c"}
    assert control == {"fence", "member", "folio", "block", "budget", "w", "leader", "types"}


@pytest.mark.parametrize("name", sorted(FIXTURE["messages"]))
def test_this_release_reads_a_message_of_production(name: str) -> None:
    request_type, reply_type = MESSAGE_TYPES[name]
    if request_type is not None:
        value = FIXTURE["messages"][name]["sent"]
        assert contains(msgspec.to_builtins(msgspec.convert(value, request_type)), value)
    if reply_type is not None:
        value = FIXTURE["messages"][name]["answer"]
        assert contains(msgspec.to_builtins(msgspec.convert(value, reply_type)), value)


def test_production_reads_messages_of_this_release() -> None:
    production = releases.production().module("control.messages")
    desired_attempt = messages.DesiredAttempt(
        "host-1", 7, "j-1/0", 2, messages.DesiredAction.RUN, is_in_gang=True
    )
    update = messages.DesiredStateUpdate("rig-0", "rig-0.1", 3, 1, 9, [desired_attempt])
    read = production.decode(messages.encode([update]), list[production.Sync])
    assert read[0].wants[0].task == "j-1/0" and not hasattr(read[0].wants[0], "gang")
    capacity = MachineCapacity("host-1", "small", "east", False, 4.0, 0.0, 16.0)
    status = messages.MachineStatus(capacity, 7, True, False, False, False, False, False, 0.1, 2.0)
    heartbeat = messages.MemberHeartbeat("rig-0", 1, [status])
    assert (
        production.decode(messages.encode(heartbeat), production.Summary).views[0].room.name
        == "host-1"
    )
    response = messages.HeartbeatResponse(True, True, True)
    assert production.decode(messages.encode(response), production.Directions).taken


def test_production_reads_records_stored_before_all_controllers_are_upgraded() -> None:
    production = releases.production().module("control.records")
    record = records.JobRecord({}, "rig-0.1", chunk=records.Chunk(bound=[(0, 1, "host-1")]))
    read = msgspec.convert(msgspec.to_builtins(record), production.JobRecord)
    # Production would drop the layout on rewriting the record, so the record has none yet.
    assert read.chunk.bound == [(0, 1, "host-1")] and not hasattr(read, "per")
    assert record.tasks_per_chunk is None
