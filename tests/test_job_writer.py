"""Writes of job records that complete after other events, with a scripted state service."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from tests.test_job_acceptor import SPEC, make_controller


def test_a_write_acknowledged_after_the_job_was_removed_adds_no_quota_usage() -> None:
    """A write in flight is acknowledged after its job has been removed from memory.

    Quota usage that the acknowledgement added would belong to no job, and be lost to the team
    forever.
    """
    controller, state, _ = make_controller()
    pending_replies: list[Deferred[int]] = []

    async def transact(conditions: Any, changes: Any, *rest: Any) -> int:
        if not controller.jobs:
            return 7
        pending_replies.append(Deferred())
        return await pending_replies[-1]

    state.transact = transact  # type: ignore[method-assign]
    ensureDeferred(controller.accept(SPEC))
    job = controller.jobs["j-1"]
    key = ("rig-0.1", "red")
    assert controller.quota_manager.usage[key] == (4.0, 0.0)
    job.dirty_chunks.add(0)
    controller.writer.flush(job)
    assert len(pending_replies) == 1
    controller.remove_job(job)
    assert controller.quota_manager.usage[key] == (0.0, 0.0)
    pending_replies[0].callback(8)
    assert controller.quota_manager.usage[key] == (0.0, 0.0)
