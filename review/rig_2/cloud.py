"""A stand-in for the cloud, after PROTOCOL: machine types, rentals, returns, a lagging list."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from rig_2.record import Record
from rig_2.wire import Reply, Request, Server

MAX_RENTED = 50
PAGE = 500

Place = tuple[str, str, bool]


class Machine:
    """One rented machine."""

    def __init__(self, name: str, place: Place, born: float) -> None:
        self.name, self.place, self.born = name, place, born
        self.gone_at: float | None = None
        self.address = ""
        self.is_up = False


class Cloud:
    """Owns the machines; `boot` starts the worker of one, `kill` ends it."""

    def __init__(
        self,
        record: Record,
        types: list[dict[str, Any]],
        capacity: dict[Place, int],
        list_lag_s: float,
        boot: Callable[[Machine], Awaitable[None]],
        kill: Callable[[str], None],
    ) -> None:
        self.record, self.types, self.capacity = record, types, capacity
        self.list_lag_s, self.boot, self.kill = list_lag_s, boot, kill
        self.machines: dict[str, Machine] = {}
        self.granted: dict[str, list[str]] = {}
        self.down = False
        # All calls, as (time, controller, what, machines).
        self.calls: list[tuple[float, str, str, list[str]]] = []
        self.servers: list[Server] = []

    async def start(self, members: list[str]) -> dict[str, str]:
        """Listen; return the address of the cloud for each controller."""
        addresses = {}
        for member in members:
            server = Server(self._handler(member))
            self.servers.append(server)
            addresses[member] = f"127.0.0.1:{await server.start()}"
        return addresses

    async def add(self, place: Place, boot_s: float = 0.0, age_s: float = 0.0) -> Machine:
        """Rent a machine; with `boot_s` 0 it is up when this returns."""
        name = f"host-{len(self.machines) + 1:06d}"
        machine = self.machines[name] = Machine(name, place, self.record.now() - age_s)
        if boot_s:
            asyncio.get_running_loop().create_task(self._boot_later(machine, boot_s))
        else:
            await self._boot(machine)
        return machine

    async def _boot_later(self, machine: Machine, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        if machine.gone_at is None:
            await self._boot(machine)

    async def _boot(self, machine: Machine) -> None:
        machine.is_up = True
        await self.boot(machine)

    def _handler(self, member: str) -> Any:
        async def handle(request: Request) -> Reply | None:
            if self.down:
                return Reply(503, {"error": "trouble"})
            if request.path == "/machine_types":
                return Reply(200, {"rig_kinds": self.types})
            if request.path == "/rentals/return":
                return self._return(member, request.body["rigs"])
            if request.method == "POST":
                return await self._rent(member, request.body)
            self.calls.append((self.record.now(), member, "list", []))
            return self._list(request.query)

        return handle

    async def _rent(self, member: str, body: dict[str, Any]) -> Reply:
        name = body["hire"]
        if name in self.granted:
            return Reply(200, {"rigs": self.granted[name]})
        place = (body["rig_kind"], body["yard"], body["standby"])
        count = min(body["how_many"], MAX_RENTED, self.capacity.get(place, 0))
        wanted = f"rental {name} of {body['how_many']} {place}"
        self.record.add(f"cloud: {member} asks for {wanted}: {count} granted")
        if not count:
            return Reply(503, {"error": "no capacity"})
        self.capacity[place] -= count
        boot_s = next(kind["boot_s"] for kind in self.types if kind["label"] == place[0])
        rigs = [(await self.add(place, boot_s)).name for _ in range(count)]
        self.granted[name] = rigs
        self.calls.append((self.record.now(), member, "rent", rigs))
        return Reply(200, {"rigs": rigs})

    def _return(self, member: str, names: list[str]) -> Reply:
        self.calls.append((self.record.now(), member, "return", names))
        for name in names:
            machine = self.machines.get(name)
            if machine is not None and machine.gone_at is None:
                self.record.add(f"cloud: {member} returns {name}")
                machine.gone_at = self.record.now()
                self.capacity[machine.place] = self.capacity.get(machine.place, 0) + 1
                self.kill(name)
        return Reply(200)

    def _list(self, query: dict[str, str]) -> Reply:
        seen_at = self.record.now() - self.list_lag_s
        listed = [
            machine
            for name, machine in sorted(self.machines.items())
            if name > query.get("since", "")
            and machine.born <= seen_at
            and (machine.gone_at is None or machine.gone_at > seen_at)
        ]
        page = listed[: min(int(query.get("most", PAGE)), PAGE)]
        rigs = [
            {
                "id": machine.name,
                "address": machine.address or "127.0.0.1:9",
                "rig_kind": machine.place[0],
                "yard": machine.place[1],
                "standby": machine.place[2],
                "status": "running" if machine.is_up else "starting",
                "held_s": seen_at - machine.born,
            }
            for machine in page
        ]
        return Reply(200, {"rigs": rigs, "truncated": len(page) < len(listed)})
