"""Client that sends direct commands to workers and parses the heartbeats in their replies."""

from __future__ import annotations

from typing import NamedTuple

from beamspar.protocol.codec import InvalidInputError
from beamspar.protocol.workers import (
    Command,
    WorkerHeartbeat,
    encode_commands,
    parse_worker_heartbeat,
)
from beamspar.transport.http import CallFailedError, Net

STATUS_EXECUTED = 200
# The fencing token or the agent epoch of the commands is outdated.
STATUS_REFUSED = 409


class CommandResult(NamedTuple):
    """A worker's reply to commands."""

    is_executed: bool
    # The worker's state after the commands.
    heartbeat: WorkerHeartbeat


class WorkerClient:
    """Sends direct commands to workers."""

    def __init__(self, net: Net, timeout_s: float) -> None:
        self.net = net
        self.timeout_s = timeout_s

    async def send_commands(
        self, address: str, fencing_token: int, agent_epoch: int, commands: list[Command]
    ) -> CommandResult:
        """Send commands; return whether they were executed and the worker's heartbeat after them.

        Raises CallFailedError if the outcome is indeterminate: as long as the fencing token and
        the agent epoch match, the commands may still be executed minutes later.
        """
        body = encode_commands(fencing_token, agent_epoch, commands)
        response = await self.net.request("POST", address, "/orders", body, self.timeout_s)
        if response.status not in (STATUS_EXECUTED, STATUS_REFUSED):
            raise CallFailedError(f"worker {address}: unexpected HTTP status {response.status}")
        try:
            heartbeat = parse_worker_heartbeat(response.body)
        except InvalidInputError as error:
            raise CallFailedError(f"worker {address}: malformed heartbeat: {error}") from error
        return CommandResult(response.status == STATUS_EXECUTED, heartbeat)
