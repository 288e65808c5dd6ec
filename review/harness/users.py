"""Stand-ins of the load balancer and of the users."""

from __future__ import annotations

import asyncio
import time
from typing import Any, NamedTuple

from review.harness.fleet import Ledger
from review.harness.wire import Answer, request

SUBMIT_TIMEOUT_S = 5.0
POLL_TIMEOUT_S = 2.0
GIVE_UP_S = 60.0
FINAL = ("done", "withdrawn")


class Event(NamedTuple):
    """A request of a user with its response; the status is 0 if there was none in time."""

    sent_at: float
    answered_at: float
    node: str
    what: str
    job: str
    status: int
    state: str


class Users:
    """Sends users' requests and keeps what was answered."""

    def __init__(self, nodes: dict[str, str], ledger: Ledger) -> None:
        self.nodes, self.ledger = nodes, ledger
        self.healthy = dict.fromkeys(nodes, False)
        self.open = dict.fromkeys(nodes, 0)
        self.events: list[Event] = []
        self.accepted_at: dict[str, float] = {}
        # By job: its final state, and when a user was first told of it.
        self.final: dict[str, tuple[str, float]] = {}
        # By job: when a question about it was last answered with 200 or 404.
        self.answered_at: dict[str, float] = {}
        self.wants_withdrawn: set[str] = set()

    async def watch_health(self) -> None:
        """Probe every node once a second, as the load balancer does; runs for ever."""
        fails = dict.fromkeys(self.nodes, 0)
        while True:
            for name, address in self.nodes.items():
                answer = await request("GET", address, "/up", None, 1.0)
                is_up = answer is not None and answer.status == 200
                fails[name] = 0 if is_up else fails[name] + 1
                if is_up or fails[name] >= 2:
                    self.healthy[name] = is_up
            await asyncio.sleep(1.0)

    def pick(self) -> str:
        """Return the node of a new connection: a healthy one with the fewest open ones."""
        names = [name for name in self.nodes if self.healthy[name]] or list(self.nodes)
        return min(names, key=lambda name: self.open[name])

    async def call(
        self, what: str, job: str, method: str, path: str, body: Any, timeout_s: float, node: str
    ) -> Answer | None:
        """Send one request on a new connection and record what came back."""
        name = node or self.pick()
        self.open[name] += 1
        sent_at = time.monotonic()
        try:
            answer = await request(method, self.nodes[name], path, body, timeout_s)
        finally:
            self.open[name] -= 1
        data = answer.body if answer is not None and isinstance(answer.body, dict) else {}
        status = answer.status if answer is not None else 0
        state = str(data.get("status", "")) if status in (200, 201) else ""
        now = time.monotonic()
        self.events.append(Event(sent_at, now, name, what, job, status, state))
        if status in (200, 201):
            self.accepted_at.setdefault(job, now)
            if state in FINAL:
                self.final.setdefault(job, (state, now))
        if status in (200, 404) and what != "submit":
            self.answered_at[job] = now
        return answer

    async def submit(self, spec: dict[str, Any], node: str = "") -> bool:
        """Submit until it is accepted or rejected, for a minute; return whether it is accepted."""
        sent = {key: value for key, value in spec.items() if key != "run_s"}
        self.ledger.jobs[spec["id"]] = spec
        began = time.monotonic()
        while time.monotonic() - began < GIVE_UP_S:
            answer = await self.call(
                "submit", spec["id"], "POST", "/submissions", sent, SUBMIT_TIMEOUT_S, node
            )
            if answer is not None and answer.status in (200, 201):
                return True
            if answer is not None and answer.status in (400, 422):
                return False
            await asyncio.sleep(max(1.0, answer.retry_after_s if answer is not None else 1.0))
        return False

    async def poll(self, job: str, node: str = "") -> Answer | None:
        """Ask about a job once."""
        return await self.call(
            "poll", job, "GET", f"/submissions/{job}", None, POLL_TIMEOUT_S, node
        )

    async def keep_polling(self, job: str, every_s: float = 5.0, node: str = "") -> None:
        """Ask about a job until it is done or cancelled."""
        while job not in self.final:
            await self.poll(job, node)
            await asyncio.sleep(every_s)

    async def withdraw(self, job: str, node: str = "") -> None:
        """Cancel a job; repeat the request until it is answered."""
        self.wants_withdrawn.add(job)
        path = f"/submissions/{job}/withdraw"
        while True:
            answer = await self.call("withdraw", job, "POST", path, {}, SUBMIT_TIMEOUT_S, node)
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(max(1.0, answer.retry_after_s if answer is not None else 1.0))
