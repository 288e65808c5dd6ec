"""Writes of jobs that are overtaken by other events, with the state service scripted."""

from __future__ import annotations

from typing import Any

from twisted.internet.defer import Deferred, ensureDeferred

from tests.test_job_acceptor import SPEC, make


def test_a_write_acknowledged_after_the_job_was_forgotten_counts_nothing() -> None:
    """Usage that nothing accounts for would be lost to the team for ever."""
    owner, store, _ = make()
    held: list[Deferred[int]] = []

    async def transact(conditions: Any, changes: Any, *rest: Any) -> int:
        if not owner.jobs:
            return 7
        held.append(Deferred())
        return await held[-1]

    store.transact = transact  # type: ignore[method-assign]
    ensureDeferred(owner.accept(SPEC))
    job = owner.jobs["j-1"]
    key = ("rig-0.1", "red")
    assert owner.quota_manager.used[key] == (4.0, 0.0)
    job.dirty.add(0)
    owner.writer.flush(job)
    assert len(held) == 1
    owner.forget(job)
    assert owner.quota_manager.used[key] == (0.0, 0.0)
    held[0].callback(8)
    assert owner.quota_manager.used[key] == (0.0, 0.0)
