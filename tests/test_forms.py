"""Every encoding that leaves the process, byte by byte: messages, records, commands and calls.

A renamed or reordered field would break controllers of another release, stored records, workers
and users. `fixtures/forms.json` holds the bytes as the code wrote them before it was restructured.
Examples are named after what is on the wire, not after names in the code. A test run only reads
the file; `BEAMSPAR_WRITE_FORMS=1 python -m tests.test_forms` rewrites it, which is right only if an
encoding is meant to change. Objects are constructed by position, so that renaming a field in the
code changes nothing here.
"""

from __future__ import annotations

import functools
import json
import operator
import os
import random
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from twisted.internet.defer import Deferred, ensureDeferred, succeed

from beamspar import settings, timeouts
from beamspar.decision_log import decisions as log
from beamspar.decision_log import messages as log_messages
from beamspar.leader import cloud_client as cloud
from beamspar.machines import worker_client as workers
from beamspar.node import node
from beamspar.protocol import cloud as cloud_protocol
from beamspar.protocol import codec
from beamspar.protocol import jobs as jobs_protocol
from beamspar.protocol import peer_messages as messages
from beamspar.protocol import workers as workers_protocol
from beamspar.protocol.machine_capacity import MachineCapacity
from beamspar.quota import allocations as shares
from beamspar.quota import quota_manager as quota_manager
from beamspar.sharing import messages as sharing
from beamspar.standby import messages as standby
from beamspar.standby import standby as standing
from beamspar.state import client as state
from beamspar.state import control_records
from beamspar.state import job_records as records
from beamspar.state import keys as stored_keys
from beamspar.state import messages as state_messages
from beamspar.transport import http
from tests.standins.clock import SimClock
from tests.standins.sharing import SharingWorld

FIXTURE = Path(__file__).parent / "fixtures" / "forms.json"
WRITE = "BEAMSPAR_WRITE_FORMS"

JOB = {
    "id": "j-000412",
    "lane": "train",
    "owner": "vision",
    "shape": "ensemble",
    "urgency": "high",
    "parcels": 16,
    "cpus": 8.5,
    "accelerators": 1.5,
    "memory_gb": 64.25,
    "crate": "img-07",
    "size_gb": 6.5,
    "rig_kinds": ["g8", "c4"],
    "yard": "b",
    "together": True,
    "scatter": True,
    "standby": True,
    "eta_s": 240.5,
    "stamp_every_s": 30.5,
    "stamp_s": 4.5,
    "due_s": 900.5,
}
OPTIONAL = ("rig_kinds", "yard", "due_s")
PLACE = ("g8", "b", True)


def machine() -> Any:
    return control_records.Machine("host-7", "10.1.0.7:9000", "g8", "b", True)


def desired_attempt() -> Any:
    amounts = (8.5, 1.5, 64.25, "img-07", 6.5)
    return messages.DesiredAttempt(
        "host-7",
        41,
        "j-1/3",
        2,
        messages.DesiredAction.RUN,
        *amounts,
        1,
        True,
        4.5,
        True,
        True,
        True,
    )


def capacity() -> Any:
    free = (88.5, 6.5, 700.25, {"img-07": 6.5}, [(1.5, 2.5, 3.5)])
    return MachineCapacity(
        "host-7", "g8", "b", True, *free, False, 3, 2, 1500, [120, 240, 360, 480]
    )


def machine_status() -> Any:
    return messages.MachineStatus(capacity(), 41, True, True, True, True, True, True, 1.5, 2.5)


def job_class() -> Any:
    return messages.JobClass(JOB, 16, {"b": 5})


def member_heartbeat() -> Any:
    unassigned = [msgspec.to_builtins(machine())]
    caches = {"host-7": {"img-07": 6.5}}
    rest = (7, 9, unassigned, {"train": job_class()}, 12, caches, ["host-8"], True, 21, 0.25)
    return messages.MemberHeartbeat("rig-1", 3, [machine_status()], *rest)


def heartbeat_response() -> Any:
    caches = {"host-7": {"img-07": 6.5}}
    return messages.HeartbeatResponse(
        True, True, True, (12.5, 96.5), ["host-8"], caches, 13, ["host-9"]
    )


def attempt_status() -> Any:
    return messages.AttemptStatus(
        "host-7", 41, "j-1/3", 2, messages.AttemptState.ENDED, "error", True
    )


def decisions() -> list[Any]:
    return [
        log.InstancesRequested("rig-1.3-17", PLACE, 12),
        log.InstancesGranted("rig-1.3-17", PLACE, ["host-7", "host-8"], 30.5),
        log.InstancesRefused("rig-1.3-18", PLACE, 60.5),
        log.InstanceRequestAbandoned("rig-1.3-19"),
        log.MachinesStarted(["host-7"]),
        log.MachinesDeleted(["host-8"], [PLACE]),
        log.CacheChanged("host-7", {"img-07": 6.5}),
    ]


def least_decisions() -> list[Any]:
    return [
        log.InstancesGranted("rig-1.3-17", PLACE, []),
        log.MachinesDeleted([]),
    ]


def entries(logged: list[Any]) -> list[Any]:
    return [log_messages.LogEntry(8 + n, 0.5 + n, decision) for n, decision in enumerate(logged)]


def machine_state() -> Any:
    ages = (5, 88, 4, 87, 3, 1.5, 2.5, 3.5)
    return sharing.MachineState("host-7", 42, 41, True, 0.5, *ages, True, True, {"img-07": 6.5})


def least_machine_state() -> Any:
    return sharing.MachineState(
        "host-7", 42, 41, False, 0.0, 0, 0, 0, 0, 0, 0.0, 0.0, 0.0, False, False
    )


def shares_reply() -> Any:
    member = sharing.MemberShare("rig-1", 7, 3, 21.5, 0.25, 6.5, True)
    move = sharing.MoveView("b-1", "rig-1", "rig-2", "load", "prepared")
    return sharing.SharesReply("rig-1", "rig-2", True, "leaving", [member], [move])


def chunk() -> Any:
    return records.Chunk([(3, 2, "host-7")], [(4, 1)], [(0, 2), (5, 9)])


def job_record() -> Any:
    return records.JobRecord(
        JOB, "rig-1.3", records.JobStatus.CANCELLED, 8, 1, chunk(), "rig-1.3-5", 372
    )


def least_job() -> dict[str, Any]:
    return {key: value for key, value in JOB.items() if key not in OPTIONAL}


def worker_heartbeat() -> Any:
    tasks = [workers_protocol.TaskStatus("j-1/3", 2, "ended", "stopped", True)]
    return workers_protocol.WorkerHeartbeat(
        "host-7", "10.1.0.7:9000", "g8", "b", 5, 88, 41, tasks, True, 20.5
    )


def machine_type() -> Any:
    prices = (12.5, 4.5, 45.5, ["a", "b"])
    return cloud_protocol.MachineType("g8", 96.5, 8.5, 768.5, 200.5, 1.5, *prices)


def instance() -> Any:
    return cloud_protocol.Instance("host-7", "10.1.0.7:9000", "g8", "b", True, "starting", 61.5)


def commands() -> list[Any]:
    return [
        workers_protocol.StartCommand("j-1/4", 2),
        workers_protocol.StopCommand("j-1/1", 1, 10.5),
        workers_protocol.ClearCommand("j-1/0", 3),
    ]


def keys() -> list[str]:
    first, small = records.ChunkLayout(372, True), records.ChunkLayout(93)
    return [
        stored_keys.job_key("j-1"),
        stored_keys.finished_job_key("j-1"),
        stored_keys.cancellation_key("j-1"),
        first.key_prefix("j-1"),
        first.chunk_key("j-1", 4),
        small.key_prefix("j-1"),
        small.chunk_key("j-1", 4),
        stored_keys.CONTROL_PREFIX,
        stored_keys.PARTITION_PREFIX,
        stored_keys.SHARD_PREFIX,
        stored_keys.LEADER_KEY,
        stored_keys.LEAVING_MEMBERS_KEY,
        stored_keys.MACHINE_TYPES_KEY,
        stored_keys.TEAM_QUOTA_PREFIX,
    ]


def team_record() -> Any:
    waiting = shares.Allocation(8.5, 1.5, 2, 4.5, 0.5, 412)
    unmet = shares.Allocation(8.5, 1.5, 3, 4.5, 0.5)
    record = shares.TeamQuota({"rig-2.1": [1.5, 0.5]}, 400)
    return record.with_allocation("rig-1.3", waiting).with_allocation("rig-3.1", unmet).raw


# Messages between controllers, encoded as JSON. In those named "-least", all optional fields are
# omitted.
PEER: dict[str, Callable[[], Any]] = {
    "wants": lambda: [
        messages.DesiredStateUpdate("rig-1", "rig-1.3", 412, 3, 9, [desired_attempt()], ["host-7"])
    ],
    "wants-least": lambda: [
        messages.DesiredStateUpdate(
            "rig-1",
            "rig-1.3",
            412,
            3,
            9,
            [messages.DesiredAttempt("host-7", 41, "j-1/3", 2, "stop")],
        )
    ],
    "states": lambda: messages.AttemptStatusBatch([attempt_status()]),
    "states-least": lambda: messages.AttemptStatusBatch(
        [messages.AttemptStatus("host-7", 41, "j-1/3", 2, "gone")]
    ),
    "actions": lambda: [
        messages.DesiredAction.RUN,
        messages.DesiredAction.STOP,
        messages.DesiredAction.CLEAR,
        messages.DesiredAction.HOLD,
    ],
    "states-of-an-attempt": lambda: [
        messages.AttemptState.GONE,
        messages.AttemptState.REFUSED,
        messages.AttemptState.ENDED,
        messages.AttemptState.KEPT,
    ],
    "ask-for-room": lambda: messages.CapacityRequestBatch(
        "rig-1", [messages.CapacityRequest(JOB, 5, {"b": 2}, {"host-7": 1}, ["host-8"], 7.5)]
    ),
    "ask-for-room-least": lambda: messages.CapacityRequestBatch(
        "rig-1", [messages.CapacityRequest({}, 1, {}, {}, [])]
    ),
    "offer-of-room": lambda: messages.CapacityOffers(
        [messages.PlacementOffer("j-1", "host-7", True, "b")]
    ),
    "offer-of-room-least": lambda: messages.CapacityOffers(
        [messages.PlacementOffer("j-1", "host-7")]
    ),
    "heartbeat": member_heartbeat,
    "heartbeat-least": lambda: messages.MemberHeartbeat("rig-1", 3, []),
    "heartbeat-parts-least": lambda: messages.MemberHeartbeat(
        "rig-1",
        3,
        [
            messages.MachineStatus(
                MachineCapacity("host-7", "g8", "b", False, 0.0, 0.0, 0.0),
                41,
                *[False] * 6,
                0.0,
                0.0,
            )
        ],
        0,
        0,
        [],
        {"train": messages.JobClass({})},
    ),
    "heartbeat-answer": heartbeat_response,
    "heartbeat-answer-least": lambda: messages.HeartbeatResponse(False),
    "pulse": lambda: messages.HealthProbeResponse(0.25),
    "metrics": lambda: messages.Metrics(
        {"an invariant": 1}, 41, 0.25, 12.5, "rig-1", 3, 4, 5, 6, 7
    ),
    "relayed-request": lambda: messages.ForwardedRequest("POST", "/submissions", JOB),
    "relayed-request-least": lambda: messages.ForwardedRequest("GET", "/submissions/j-1"),
    "relayed-answer": lambda: messages.ForwardedResponse(
        503, {"error": "busy"}, [("Retry-After", "2")]
    ),
    "relayed-answer-least": lambda: messages.ForwardedResponse(404),
    "withdrawals": lambda: messages.CancellationNotice({"j-1": 412}),
    "follow": lambda: log_messages.FollowRequest("rig-1", 412, 9, 512),
    "follow-least": lambda: log_messages.FollowRequest("rig-1"),
    "follow-answer": lambda: log_messages.FollowReply(
        412, 14, entries(decisions()), True, 14, 512, False, ["rig-2", "rig-3"]
    ),
    "follow-answer-least": lambda: log_messages.FollowReply(),
    "log-entries-least": lambda: log_messages.FollowReply(412, 9, entries(least_decisions())),
    "hand-over": lambda: standby.HandOverRequest("rig-2"),
    "hand-over-least": lambda: standby.HandOverRequest(),
    "hand-over-answer": lambda: standby.HandOverReply(True, "rig-2", "asked for"),
    "hand-over-answer-least": lambda: standby.HandOverReply(False),
    "take-lead": lambda: standby.TakeLeadRequest("rig-1", 412, 9),
    "take-lead-answer": lambda: standby.TakeLeadReply(True),
    "confirm": lambda: standby.ConfirmRequest("rig-1"),
    "probe": lambda: standby.ProbeRequest("rig-2"),
    "probe-answer": lambda: standby.ProbeReply(True),
    "standby-status": lambda: standing.StandbyStatus(
        "rig-1", "rig-2", True, True, 412, 9, 2, ["rig-3"], 4
    ),
    "prepare-move": lambda: sharing.PrepareRequest("rig-1", {"b-1": 41}, 7.5),
    "prepare-move-answer": lambda: sharing.PrepareReply(["b-1"]),
    "release": lambda: sharing.ReleaseRequest("rig-1", 3, [machine_state()]),
    "release-least": lambda: sharing.ReleaseRequest("rig-1", 3, [least_machine_state()]),
    "release-answer": lambda: sharing.ReleaseReply(["host-7"], ["host-8"]),
    "release-answer-least": lambda: sharing.ReleaseReply([]),
    "move": lambda: sharing.MoveRequest("b-1", "rig-2"),
    "leave": lambda: sharing.LeaveRequest(True),
    "leave-least": lambda: sharing.LeaveRequest(),
    "command-answer": lambda: sharing.CommandReply(True, "asked for"),
    "command-answer-least": lambda: sharing.CommandReply(False),
    "shares": shares_reply,
    "shares-least": lambda: sharing.SharesReply("rig-1", None, False, "left"),
}
# Stored records, and messages to and from users, workers, the cloud and the state service, encoded
# as MessagePack.
OUTER: dict[str, Callable[[], Any]] = {
    "job-record": job_record,
    "job-record-least": lambda: records.JobRecord({}, "rig-1.3"),
    "job-states": lambda: [
        records.JobStatus.LIVE,
        records.JobStatus.CANCELLED,
        records.JobStatus.DONE,
    ],
    "tasks-record": chunk,
    "tasks-record-least": lambda: records.Chunk(),
    "end-record": lambda: records.EndRecord(records.JobStatus.DONE, 16),
    "end-record-least": lambda: records.EndRecord(records.JobStatus.CANCELLED),
    "keys": keys,
    "block-record": lambda: control_records.shard_record("rig-1", [machine()], True, 41),
    "block-record-least": lambda: control_records.shard_record("rig-1", [machine()]),
    "block-machine-least": lambda: control_records.Machine("host-7", "10.1.0.7:9000", "g8", "b"),
    "team-record": team_record,
    "release-told": lambda: control_records.RELEASE,
    "submission": lambda: jobs_protocol.parse_job_spec(JOB),
    "submission-least": lambda: jobs_protocol.parse_job_spec(least_job()),
    "job-answer": lambda: jobs_protocol.job_response("j-1", "running", 3, 13),
    "job-answer-least": lambda: jobs_protocol.job_response("j-1", "pending"),
    "redirect": lambda: workers_protocol.redirect_response("rig-2"),
    "redirect-least": lambda: workers_protocol.redirect_response(None),
    "commands": commands,
    "orders": lambda: codec.unpack(workers_protocol.encode_commands(41, 5, commands())),
    "report-answer": lambda: codec.unpack(
        codec.pack(workers_protocol.heartbeat_response(41, commands()))
    ),
    "report": worker_heartbeat,
    "report-least": lambda: workers_protocol.WorkerHeartbeat(
        "host-7", "10.1.0.7:9000", "g8", "b", 5, 88, 41
    ),
    "task-report-least": lambda: workers_protocol.TaskStatus("j-1/3", 2, "running"),
    "machine-type": machine_type,
    "machine-type-least": lambda: cloud_protocol.MachineType("g8", 96.5),
    "rental": instance,
    "rental-least": lambda: cloud_protocol.Instance("host-7"),
    "put": lambda: state_messages.put("a/b", {"n": 1}, 7),
    "put-least": lambda: state_messages.put("a/b", None),
    "drop": lambda: state_messages.drop("a/b"),
    "stored-item": lambda: state_messages.KeyValue("a/b", {"n": 1}, 412),
    "change-told": lambda: state_messages.WatchEvent(412, "a/b", "c/d", {"n": 1}),
    "change-told-least": lambda: state_messages.WatchEvent(412),
}


class Recorder:
    """A network that records each call and returns the given responses in order."""

    def __init__(self, *responses: Any) -> None:
        self.responses = list(responses)
        self.calls: list[list[str]] = []

    def request(
        self, method: str, address: str, path: str, body: bytes | None, limit_s: float
    ) -> Deferred[http.HttpResponse]:
        self.calls.append([method, address, path, "no body" if body is None else body.hex()])
        response = self.responses.pop(0)
        raw = response if isinstance(response, bytes) else codec.pack(msgspec.to_builtins(response))
        return succeed(http.HttpResponse(200, raw))


def deployment() -> settings.Settings:
    """Return the settings of one of two controllers."""
    facts = settings.PlatformSettings(
        settings.WorkerSettings(3.0, 15.0, 45.0),
        settings.StateServiceLimits(100.0, 100.0, 32.0, 64),
        settings.CloudLimits(5.0, 5.0),
        2,
    )
    services = settings.Services("cloud:1", "state:1")
    siblings = [settings.PeerSettings("rig-2", "rig-2:8")]
    return settings.Settings("rig-1", "rig-1:7", "rig-1:8", services, facts, "", siblings)


def state_client(net: Recorder) -> state.StateClient:
    """Return a client of the state service."""
    durations = timeouts.Timeouts(deployment(), settings.OperatorSettings())
    return state.StateClient(SimClock(), net, deployment(), durations)  # type: ignore[arg-type]


def cloud_client(net: Recorder) -> cloud.CloudClient:
    """Return a client of the cloud."""
    return cloud.CloudClient(net, "cloud:1", 1.0)  # type: ignore[arg-type]


async def get_key(net: Recorder) -> None:
    assert await state_client(net).get("a/b") == state_messages.KeyValue("a/b", {"n": 1}, 412)


async def scan_keys(net: Recorder) -> None:
    rows, revision = await state_client(net).scan("c/x y")
    assert rows == [state_messages.KeyValue("c/x z", 1, 5), state_messages.KeyValue("c/x&", 2, 6)]
    assert revision == 431


async def write_keys(net: Recorder) -> None:
    changes = [state_messages.put("a/b", {"n": 1}, 7), state_messages.drop("c/d")]
    assert await state_client(net).transact({"a/b": 0, "c/d": 5}, changes) == 432


async def compare_keys(net: Recorder) -> None:
    assert await state_client(net).transact({"a/b": 412}, []) == 432


async def leases(net: Recorder) -> None:
    client = state_client(net)
    assert await client.grant_lease(5.25) == 7
    await client.renew_lease(7)
    await client.revoke_lease(7)


async def watch_keys(net: Recorder) -> None:
    events, revision = await state_client(net).watch("c/", 431, 2.5)
    assert revision == 433
    assert events == [
        state_messages.WatchEvent(433, "c/9", None, 1),
        state_messages.WatchEvent(432, None, "c/d"),
    ]


async def list_types(net: Recorder) -> None:
    assert await cloud_client(net).types() == [machine_type()]


class GivenPermit:
    """Permits each call."""

    def check(self) -> None:
        pass


async def rent_instances(net: Recorder) -> None:
    client, place = cloud_client(net), ("g8", "b", True)
    assert await client.create_instances(GivenPermit(), "r-17", place, 12) == ["host-7", "host-8"]


async def return_instances(net: Recorder) -> None:
    await cloud_client(net).delete_instances(GivenPermit(), ["host-7", "host-8"])


async def list_instances(net: Recorder) -> None:
    client = cloud_client(net)
    assert await client.list_instances("") == ([instance()], True)
    assert await client.list_instances("host-7") == ([instance()], False)


async def send_direct_commands(net: Recorder) -> None:
    client = workers.WorkerClient(net, 1.0)  # type: ignore[arg-type]
    assert await client.send_commands("host-7:9", 41, 5, commands()) == (True, worker_heartbeat())


async def forward_request(net: Recorder) -> None:
    tuning, rng = settings.OperatorSettings(), random.Random(1)
    sender = node.Node(SimClock(), net, deployment(), tuning, rng)  # type: ignore[arg-type]
    request = http.HttpRequest("POST", "/submissions", {}, codec.pack(JOB))
    response = http.HttpResponse(503, codec.pack({"error": "busy"}), (("Retry-After", "2"),))
    assert await sender.forwarder.forward("rig-2", request) == response


def stored_row(key: str, data: Any, version: int) -> dict[str, Any]:
    """Return a row as the state service sends it."""
    return {"key": key, "data": data, "entry_rev": version}


# By example: the function that makes the calls and checks the decoded responses, and the responses.
CALLS: dict[str, tuple[Callable[[Recorder], Awaitable[None]], list[Any]]] = {
    "read-a-key": (get_key, [{**stored_row("a/b", {"n": 1}, 412), "permit": 7}]),
    "read-below-a-prefix": (
        scan_keys,
        [
            {"rows": [stored_row("c/x z", 1, 5)], "truncated": True, "ledger_rev": 431},
            {"rows": [stored_row("c/x&", 2, 6)], "truncated": False, "ledger_rev": 432},
        ],
    ),
    "transaction": (write_keys, [{"ledger_rev": 432}]),
    "comparison": (compare_keys, [{"ledger_rev": 432}]),
    "leases": (leases, [{"permit": 7}, {}, {}]),
    "watch": (
        watch_keys,
        [
            {
                "ledger_rev": 433,
                "events": [
                    {"put": "c/9", "data": 1, "entry_rev": 433},
                    {"drop": "c/d", "entry_rev": 432},
                ],
            }
        ],
    ),
    "machine-types": (list_types, [{"rig_kinds": [machine_type()]}]),
    "rent": (rent_instances, [{"rigs": ["host-7", "host-8"]}]),
    "give-back": (return_instances, [{"rigs": []}]),
    "list-machines": (
        list_instances,
        [{"rigs": [instance()], "truncated": True}, {"rigs": [instance()], "truncated": False}],
    ),
    "direct-orders": (send_direct_commands, [worker_heartbeat()]),
    "relayed-request": (
        forward_request,
        [b'{"status":503,"data":{"error":"busy"},"headers":[["Retry-After","2"]]}'],
    ),
}


def calls_of(name: str) -> list[list[str]]:
    """Return the calls that an example makes: method, address, path, body in hex."""
    make_calls, responses = CALLS[name]
    net = Recorder(*responses)
    done: list[Any] = []
    ensureDeferred(make_calls(net)).addBoth(done.append)  # type: ignore[arg-type]
    assert done == [None], done
    assert not net.responses, "some responses were not requested"
    return net.calls


def deployment_with_failures() -> tuple[SharingWorld, set[str]]:
    """Run a simulated deployment; return it and the paths of messages between its controllers.

    One job is cancelled, leadership is handed over and one controller leaves.
    """
    world = SharingWorld(11, tuning={"standby": True})
    paths: set[str] = set()
    cancellation_records: set[str] = set()
    send_request = world.network.request

    def request(source: str, method: str, address: str, path: str, *rest: Any) -> Any:
        if path.startswith("/peer/") and source in world.names:
            paths.add(path)
        if path == "/multi":
            changes = codec.unpack(rest[0]).get("apply", ())
            cancellation_records.update(
                str(c["data"]) for c in changes if c.get("put") == "c/w/j-long"
            )
        return send_request(source, method, address, path, *rest)

    world.network.request = request  # type: ignore[method-assign]
    world.submit("j-long", shape="standing")
    world.submit_load(random.Random(11), count=20, every_s=0.5)
    world.run(20)
    world.cancel("j-long")
    world.run(20.5)
    assert cancellation_records == {"{'t': 1}"}, "the cancellation record of the job"
    for path in ("shares", "standby"):
        assert world.send_and_wait("rig-0", path, {})[0] == 200
    assert world.send_and_wait(world.leader(), "hand-over", {"to": ""})[0] == 200
    leaver = min(set(world.names) - {world.leader()})
    assert world.send_and_wait(leaver, "move", {"block": "b", "to": "rig-1"})[0] == 200
    assert world.send_and_wait(leaver, "leave", {"undo": False})[0] == 200
    return world, paths


def deployment_forms() -> dict[str, Any]:
    """Return the paths and stored records of a deployment whose leader also fails.

    The names of the controllers are replaced by a single name, as any controller may lead.
    """
    world, paths = deployment_with_failures()
    forms_by_kind: dict[str, str] = {}

    def record_forms() -> None:
        for key, (value, *_) in sorted(world.state.items.items()):
            kind = key.split("/")[1] if key.startswith("c/") else ""
            if kind in ("fence", "member", "folio", "leader", "types", "leaving"):
                dead = "-dead" if kind == "fence" and "dead" in value else ""
                form = json.dumps(value, separators=(",", ":"))
                for name in world.names:
                    form = form.replace(name, "rig-n")
                forms_by_kind.setdefault(kind + dead, form)

    record_forms()
    world.crash(world.leader(), None)
    world.run(75)
    record_forms()
    return {"paths": sorted(paths), "records": forms_by_kind}


def outer_form(value: Any) -> str:
    """Return the MessagePack encoding in hex."""
    return codec.pack(msgspec.to_builtins(value)).hex()


def current_forms() -> dict[str, Any]:
    """Return all encodings as written by the present code."""
    return {
        "peer": {name: messages.encode(build()).decode() for name, build in PEER.items()},
        "outer": {name: outer_form(build()) for name, build in OUTER.items()},
        "calls": {name: calls_of(name) for name in CALLS},
        "day": deployment_forms(),
    }


def recorded_forms() -> dict[str, Any]:
    """Return all encodings from the fixture."""
    forms: dict[str, Any] = json.loads(FIXTURE.read_text())
    return forms


def type_of(value: Any) -> Any:
    """Return the type as which an example's bytes are decoded."""
    if isinstance(value, list) and value:
        kinds = dict.fromkeys(type(part) for part in value)
        return list[functools.reduce(operator.or_, kinds)]  # type: ignore[misc]
    return type(value)


def structs_in(value: Any) -> Iterator[Any]:
    """Yield all structs that an example contains."""
    if isinstance(value, msgspec.Struct):
        yield value
        for name in value.__struct_fields__:
            yield from structs_in(getattr(value, name))
    elif isinstance(value, dict):
        yield from (struct for part in value.values() for struct in structs_in(part))
    elif isinstance(value, list | tuple):
        yield from (struct for part in value for struct in structs_in(part))


def test_examples_here_and_in_the_fixture_are_the_same() -> None:
    forms = recorded_forms()
    assert set(forms.pop("day")) == {"paths", "records"}
    examples: dict[str, Any] = {"peer": PEER, "outer": OUTER, "calls": CALLS}
    assert {group: set(forms[group]) for group in forms} == {g: set(examples[g]) for g in examples}


@pytest.mark.parametrize("name", PEER)
def test_a_message_between_controllers_keeps_its_bytes(name: str) -> None:
    example, form = PEER[name](), recorded_forms()["peer"][name]
    assert messages.encode(example).decode() == form
    assert messages.decode(form.encode(), type_of(example)) == example


@pytest.mark.parametrize("name", OUTER)
def test_a_stored_record_or_outside_message_keeps_its_bytes(name: str) -> None:
    example, form = OUTER[name](), recorded_forms()["outer"][name]
    assert outer_form(example) == form
    assert msgspec.convert(codec.unpack(bytes.fromhex(form)), type_of(example)) == example


@pytest.mark.parametrize("name", CALLS)
def test_a_call_keeps_its_path_and_its_bytes(name: str) -> None:
    assert calls_of(name) == recorded_forms()["calls"][name]


def test_a_deployment_keeps_its_paths_and_its_control_records() -> None:
    assert deployment_forms() == recorded_forms()["day"]


def test_worker_heartbeats_are_decoded_from_their_bytes() -> None:
    assert (
        workers_protocol.parse_worker_heartbeat(bytes.fromhex(recorded_forms()["outer"]["report"]))
        == worker_heartbeat()
    )


def test_a_machine_shard_is_decoded_from_its_record() -> None:
    stored = codec.unpack(bytes.fromhex(recorded_forms()["outer"]["block-record"]))
    assert msgspec.convert(stored, control_records.MachineShard) == control_records.MachineShard(
        "rig-1", [machine()], True, 41
    )


@pytest.mark.parametrize(
    "module",
    [
        messages,
        log_messages,
        standby,
        sharing,
        codec,
        jobs_protocol,
        workers_protocol,
        cloud_protocol,
    ],
)
def test_every_kind_of_message_has_an_example(module: Any) -> None:
    examples = [build() for build in [*PEER.values(), *OUTER.values()]]
    shown = {type(part) for part in structs_in(examples)}
    kinds = [kind for kind in vars(module).values() if isinstance(kind, type)]
    missing = {k for k in kinds if issubclass(k, msgspec.Struct)} - shown
    assert not missing


def test_a_full_example_has_no_field_at_its_default() -> None:
    builders = [*PEER.items(), *OUTER.items()]
    for part in structs_in([b() for name, b in builders if not name.endswith("least")]):
        for field in msgspec.structs.fields(part):
            value = getattr(part, field.name)
            assert value != field.default, (part, field.name)
            assert value not in ([], {}), (part, field.name)


if __name__ == "__main__" and os.environ.get(WRITE) == "1":
    FIXTURE.write_text(json.dumps(current_forms(), indent=1, sort_keys=True) + "\n")
