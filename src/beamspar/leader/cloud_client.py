"""Client of the cloud that creates, lists and deletes instances (PROTOCOL names them rigs)."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from beamspar.protocol.cloud import Instance, MachineType
from beamspar.protocol.codec import InvalidInputError, convert, pack, unpack
from beamspar.transport.http import CallFailedError, Net

# Instances that the cloud lists in one answer at most (PROTOCOL).
PAGE_SIZE = 500


class CloudUnavailableError(Exception):
    """No usable answer; a request to create or delete instances may yet be carried out."""


class NoCapacityError(Exception):
    """The cloud has no instance left of this type, zone and price class."""


class InstancePage(NamedTuple):
    """A page of the cloud's list of instances, and whether more follow."""

    instances: list[Instance]
    truncated: bool


class CloudClient:
    """Calls of the cloud's interface.

    All raise CloudUnavailableError, or NoCapacityError where the cloud answers that it has none.
    """

    def __init__(self, net: Net, address: str, limit_s: float) -> None:
        self.net = net
        self.address = address
        self.limit_s = limit_s

    async def _call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """The answer's object."""
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
        return data

    async def types(self) -> list[MachineType]:
        """Machine types with their present prices."""
        data = await self._call("GET", "/machine_types")
        try:
            found: list[MachineType] = convert(data.get("rig_kinds"), list[MachineType])
        except InvalidInputError as error:
            raise CloudUnavailableError(f"malformed reply: {error}") from error
        return found

    async def create_instances(
        self, name: str, kind: str, zone: str, spot: bool, count: int
    ) -> list[str]:
        """Create up to so many instances; returns their names.

        The request is idempotent: a name that was granted before gives the same answer.
        """
        body = {"hire": name, "rig_kind": kind, "yard": zone, "standby": spot, "how_many": count}
        data = await self._call("POST", "/rentals", body)
        rigs = data.get("rigs")
        if not isinstance(rigs, list):
            raise CloudUnavailableError("malformed reply: no list of instances")
        return [str(r) for r in rigs]

    async def delete_instances(self, names: list[str]) -> None:
        """Delete instances; once this returns, they and all on them are gone."""
        await self._call("POST", "/rentals/return", {"rigs": names})

    async def list_instances(self, after: str) -> InstancePage:
        """One page of the list: the instances that were created after the named one."""
        path = f"/rentals?most={PAGE_SIZE}" + (f"&since={after}" if after else "")
        data = await self._call("GET", path)
        try:
            page: list[Instance] = convert(data.get("rigs"), list[Instance])
        except InvalidInputError as error:
            raise CloudUnavailableError(f"malformed reply: {error}") from error
        return InstancePage(page, bool(data.get("truncated")) and bool(page))
