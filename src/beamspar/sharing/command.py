"""The operators' commands on shares: list holders, move a shard, leave the service.

The texts of the commands call a shard a block. The commands are subcommands of `beamsparctl`, like
those of the standby. Exit statuses: 0 done, 1 refused or no reply, 2 invalid settings or usage.
"""

from __future__ import annotations

import sys
from typing import Any

import click
import msgspec
import orjson

from beamspar.settings import Settings
from beamspar.sharing.messages import (
    CommandReply,
    MemberShare,
    MoveView,
    ParticipationState,
    SharesReply,
    SharingPath,
)
from beamspar.standby.command import NOT_DONE, NoAnswerError, addresses, call, main

# Timeouts of a query, and of a command whose receiver may write to the state service.
QUERY_TIMEOUT_S, COMMAND_TIMEOUT_S = 2.0, 10.0


def request_shares(settings: Settings) -> dict[str, SharesReply | str]:
    """Return the reply of each controller, or the error text if there is no valid one."""
    replies: dict[str, SharesReply | str] = {}
    for member, address in addresses(settings).items():
        try:
            replies[member] = msgspec.convert(
                call(address, SharingPath.SHARES, {}, QUERY_TIMEOUT_S), SharesReply
            )
        except (NoAnswerError, msgspec.ValidationError) as error:
            replies[member] = str(error)
    return replies


def leader_reply(replies: dict[str, SharesReply | str]) -> SharesReply | None:
    """Return the reply of the leader that makes decisions; None if there is none."""
    valid = [reply for reply in replies.values() if isinstance(reply, SharesReply)]
    return next((reply for reply in valid if reply.leading), None)


def describe_member(reply: SharesReply, share: MemberShare | None) -> str:
    """Return a line of text that describes a controller."""
    standing = (
        "left: may be stopped" if reply.standing == ParticipationState.LEFT else reply.standing
    )
    lead = ", leads" if reply.leading else ""
    if share is None:
        return f"{standing}{lead}"
    return (
        f"{standing}{lead}, {share.machines} machines in {share.shards} blocks "
        f"(share {share.target:g}), demand {share.demand:g}, timers {share.late_s:g} s late"
    )


def describe_move(move: MoveView) -> str:
    """Return a line of text that describes a move."""
    return f"{move.stage}: {move.shard} from {move.source} to {move.target} ({move.reason})"


@main.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")
@click.pass_obj
def shares(settings: Settings, as_json: bool) -> None:
    """Each controller's machines, demand and load, and the moves; 1 if nobody decides."""
    replies = request_shares(settings)
    leader = leader_reply(replies)
    if as_json:
        output: dict[str, Any] = {
            member: {"error": reply} if isinstance(reply, str) else msgspec.to_builtins(reply)
            for member, reply in replies.items()
        }
        click.echo(orjson.dumps(output).decode())
    else:
        by_member = {share.member: share for share in leader.shares} if leader else {}
        for member, reply in replies.items():
            if isinstance(reply, SharesReply):
                reply = describe_member(reply, by_member.get(member))
            click.echo(f"{member}: {reply}")
        for move in leader.moves if leader else ():
            click.echo(describe_move(move))
    if leader is None:
        sys.exit(NOT_DONE)


def send_command(settings: Settings, member: str, path: SharingPath, message: Any) -> None:
    """Send a command to a controller; exit with status 1 and one line if it is not accepted."""
    address = addresses(settings).get(member)
    if address is None:
        click.echo(f"no controller {member}", err=True)
        sys.exit(NOT_DONE)
    try:
        reply = msgspec.convert(call(address, path, message, COMMAND_TIMEOUT_S), CommandReply)
    except (NoAnswerError, msgspec.ValidationError) as error:
        click.echo(f"{member}: {error}", err=True)
        sys.exit(NOT_DONE)
    if not reply.done:
        click.echo(f"{member}: refused: {reply.reason}", err=True)
        sys.exit(NOT_DONE)
    click.echo(f"{member}: {reply.reason or 'taken'}")


@main.command()
@click.argument("member")
@click.option("--undo", is_flag=True, help="Serve on, also after it has left.")
@click.pass_obj
def leave(settings: Settings, member: str, undo: bool) -> None:
    """Let a controller hand over all that it has; `shares` tells when it may be stopped."""
    send_command(settings, member, SharingPath.LEAVE, {"undo": undo})


@main.command()
@click.argument("shard", metavar="BLOCK")
@click.option("--to", required=True, help="The controller that shall hold the block.")
@click.pass_obj
def move(settings: Settings, shard: str, to: str) -> None:
    """Move a block to another controller; `shares` tells what becomes of it."""
    leader = leader_reply(request_shares(settings))
    if leader is None:
        click.echo("nobody decides", err=True)
        sys.exit(NOT_DONE)
    send_command(settings, leader.member, SharingPath.MOVE, {"block": shard, "to": to})
