"""A controller tells its metrics at the port for its peers."""

from __future__ import annotations

import orjson
from twisted.internet.defer import Deferred

from tests.standins.world import World


def test_a_controller_tells_its_mirror_lease_jobs_and_machines() -> None:
    world = World(1)
    world.run(6)
    world.submit("j-1", "rig-1")
    world.run(10)
    replies: list[Deferred[object]] = [
        world.network.request("tool", "POST", f"{name}:81", "/peer/metrics", b"{}", 1.0)
        for name in world.names
    ]
    world.run(11)
    metrics = [orjson.loads(reply.result.body) for reply in replies]
    assert [m["violations"] for m in metrics] == [{}, {}, {}]
    assert {m["leader"] for m in metrics} == {world.leader()}
    assert [m["jobs"] for m in metrics] == [0, 1, 0]
    assert sum(m["machines"] for m in metrics) == len(world.cloud.workers)
    assert sum(m["unconfirmed_heartbeats"] for m in metrics) >= len(world.cloud.workers)
    for m in metrics:
        assert m["mirror_revision"] > 0 and 0 <= m["mirror_age_s"] < 3
        assert 0 < m["lease_left_s"] < world.nodes["rig-0"].timeouts.registration_lease_s
