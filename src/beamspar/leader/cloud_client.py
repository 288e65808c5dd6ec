"""Client of the cloud, which creates, lists and deletes instances (PROTOCOL calls them rigs)."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from beamspar.decision_log.decisions import Place
from beamspar.leader.leader_lease import UnfencedCallPermit
from beamspar.protocol.cloud import Instance, MachineType
from beamspar.protocol.codec import InvalidInputError, convert, pack, unpack
from beamspar.transport.http import CallFailedError, Net

# Maximum number of instances that the cloud lists in one response (PROTOCOL).
PAGE_SIZE = 500


class CloudUnavailableError(Exception):
    """No usable response; a request to create or delete instances may still take effect."""


class NoCapacityError(Exception):
    """The cloud has no capacity left for this type, zone and price class."""


class InstancePage(NamedTuple):
    """A page of the cloud's list of instances, and whether more follow."""

    instances: list[Instance]
    truncated: bool


class CloudClient:
    """Calls the cloud's API.

    All requests raise CloudUnavailableError, or NoCapacityError if the cloud reports
    a lack of capacity. Those that change instances need a permit, as the cloud can't tell whether
    their sender still leads; they raise LeaderLeaseError if it permits nothing now.
    """

    def __init__(self, net: Net, address: str, timeout_s: float) -> None:
        self.net = net
        self.address = address
        self.timeout_s = timeout_s

    async def _call(self, method: str, path: str, body: Any = None) -> dict[str, Any]:
        """Send a request and return the JSON object of the response."""
        raw = pack(body) if body is not None else None
        try:
            response = await self.net.request(method, self.address, path, raw, self.timeout_s)
            data = unpack(response.body) if response.body else {}
        except (CallFailedError, msgspec.DecodeError) as error:
            raise CloudUnavailableError(str(error)) from error
        if response.status == 503 and isinstance(data, dict) and data.get("error") == "no capacity":
            raise NoCapacityError
        if response.status != 200 or not isinstance(data, dict):
            raise CloudUnavailableError(f"{method} {path} returned status {response.status}")
        return data

    async def types(self) -> list[MachineType]:
        """Return the machine types with their current prices."""
        data = await self._call("GET", "/machine_types")
        try:
            machine_types: list[MachineType] = convert(data.get("rig_kinds"), list[MachineType])
        except InvalidInputError as error:
            raise CloudUnavailableError(f"malformed list of machine types: {error}") from error
        return machine_types

    async def create_instances(
        self, permit: UnfencedCallPermit, name: str, place: Place, count: int
    ) -> list[str]:
        """Create up to `count` instances and return their names.

        The request is idempotent: a request name that was granted before gets the same response.
        """
        permit.check()
        kind, zone, spot = place
        body = {"hire": name, "rig_kind": kind, "yard": zone, "standby": spot, "how_many": count}
        data = await self._call("POST", "/rentals", body)
        rigs = data.get("rigs")
        if not isinstance(rigs, list):
            raise CloudUnavailableError(
                "malformed response to a creation request: `rigs` is not a list"
            )
        return [str(r) for r in rigs]

    async def delete_instances(self, permit: UnfencedCallPermit, names: list[str]) -> None:
        """Delete instances; once this returns, they and all tasks on them are gone."""
        permit.check()
        await self._call("POST", "/rentals/return", {"rigs": names})

    async def list_instances(self, after: str) -> InstancePage:
        """Return one page of the list: the instances created after the named one.

        The first page is returned if the name is empty.
        """
        path = f"/rentals?most={PAGE_SIZE}" + (f"&since={after}" if after else "")
        data = await self._call("GET", path)
        try:
            page: list[Instance] = convert(data.get("rigs"), list[Instance])
        except InvalidInputError as error:
            raise CloudUnavailableError(f"malformed list of instances: {error}") from error
        return InstancePage(page, bool(data.get("truncated")) and bool(page))
