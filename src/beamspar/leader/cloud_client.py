"""Client of the cloud."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from beamspar.protocol.cloud import Instance, MachineType
from beamspar.protocol.codec import InvalidInputError, convert, pack, unpack
from beamspar.transport.http import CallFailedError, Net

# Machines that the cloud lists in one answer at most (PROTOCOL).
PAGE_SIZE = 500


class CloudUnavailableError(Exception):
    """No usable answer; a request to rent or return may yet be carried out."""


class NoCapacityError(Exception):
    """None to be had of this type, zone and kind."""


class MachinePage(NamedTuple):
    """A page of the cloud's list of machines, and whether more follow."""

    machines: list[Instance]
    truncated: bool


class CloudClient:
    """Calls of the cloud's interface. Raises CloudUnavailableError and NoCapacityError."""

    def __init__(self, net: Net, address: str, limit_s: float) -> None:
        self.net = net
        self.address = address
        self.limit_s = limit_s

    async def _call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        raw = pack(body) if body is not None else None
        try:
            answer = await self.net.request(method, self.address, path, raw, self.limit_s)
            data = unpack(answer.body) if answer.body else {}
        except (CallFailedError, msgspec.DecodeError) as error:
            raise CloudUnavailableError(str(error)) from error
        if answer.status == 503 and isinstance(data, dict) and data.get("error") == "no capacity":
            raise NoCapacityError
        if answer.status != 200 or not isinstance(data, dict):
            raise CloudUnavailableError(f"{method} {path}: {answer.status}")
        return answer.status, data

    async def types(self) -> list[MachineType]:
        """Machine types with their present prices."""
        _, data = await self._call("GET", "/machine_types")
        try:
            found: list[MachineType] = convert(data.get("rig_kinds"), list[MachineType])
        except InvalidInputError as error:
            raise CloudUnavailableError(f"odd reply: {error}") from error
        return found

    async def rent(self, name: str, kind: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to so many machines; a name that was granted before gives the same answer."""
        body = {"hire": name, "rig_kind": kind, "yard": zone, "standby": spot, "how_many": count}
        _, data = await self._call("POST", "/rentals", body)
        rigs = data.get("rigs")
        if not isinstance(rigs, list):
            raise CloudUnavailableError("odd reply to a rental")
        return [str(r) for r in rigs]

    async def give_back(self, names: list[str]) -> None:
        """Return machines; once this returns, they and all on them are gone."""
        await self._call("POST", "/rentals/return", {"rigs": names})

    async def machines(self, after: str) -> MachinePage:
        """One page of the list: the machines that were created after the named one."""
        path = f"/rentals?most={PAGE_SIZE}" + (f"&since={after}" if after else "")
        _, data = await self._call("GET", path)
        try:
            page: list[Instance] = convert(data.get("rigs"), list[Instance])
        except InvalidInputError as error:
            raise CloudUnavailableError(f"odd reply: {error}") from error
        return MachinePage(page, bool(data.get("truncated")) and bool(page))
