"""Client of the workers: direct orders, and the report that answers them."""

from __future__ import annotations

from beamspar.protocol.codec import InvalidInputError
from beamspar.protocol.workers import (
    Command,
    WorkerHeartbeat,
    encode_commands,
    parse_worker_heartbeat,
)
from beamspar.transport.http import CallFailedError, Net


class WorkerClient:
    """Direct commands to workers."""

    def __init__(self, net: Net, limit_s: float) -> None:
        self.net = net
        self.limit_s = limit_s

    async def send_commands(
        self, address: str, token: int, agent_epoch: int, commands: list[Command]
    ) -> tuple[bool, WorkerHeartbeat]:
        """Whether the orders were executed, and the report after them.

        CallFailedError means doubt: the orders may be executed minutes later, while
        number and agent_epoch still match.
        """
        body = encode_commands(token, agent_epoch, commands)
        answer = await self.net.request("POST", address, "/orders", body, self.limit_s)
        if answer.status not in (200, 409):
            raise CallFailedError(f"worker {address} answered {answer.status}")
        try:
            return answer.status == 200, parse_worker_heartbeat(answer.body)
        except InvalidInputError as error:
            raise CallFailedError(f"worker {address}: odd report: {error}") from error
