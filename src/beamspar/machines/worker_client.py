"""Client of the workers: direct commands, and the heartbeat that answers them."""

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

EXECUTED = 200
# The fencing token or the agent epoch that the commands carried is outdated.
REFUSED = 409


class CommandResult(NamedTuple):
    """What a worker answers to commands."""

    is_executed: bool
    # The worker's state after them.
    heartbeat: WorkerHeartbeat


class WorkerClient:
    """Sends direct commands to workers."""

    def __init__(self, net: Net, timeout_s: float) -> None:
        self.net = net
        self.timeout_s = timeout_s

    async def send_commands(
        self, address: str, fencing_token: int, agent_epoch: int, commands: list[Command]
    ) -> CommandResult:
        """Whether the commands were executed, and the worker's heartbeat after them.

        Raises CallFailedError when the outcome is indeterminate: the commands may be executed
        minutes later, while fencing token and agent epoch still match.
        """
        body = encode_commands(fencing_token, agent_epoch, commands)
        answer = await self.net.request("POST", address, "/orders", body, self.timeout_s)
        if answer.status not in (EXECUTED, REFUSED):
            raise CallFailedError(f"worker {address} answered {answer.status}")
        try:
            heartbeat = parse_worker_heartbeat(answer.body)
        except InvalidInputError as error:
            raise CallFailedError(f"worker {address}: malformed heartbeat: {error}") from error
        return CommandResult(answer.status == EXECUTED, heartbeat)
