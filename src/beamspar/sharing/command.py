"""The operators' commands on shares: who holds what, moving a shard, leaving the service.

Their texts call a shard a block.

They join those of the standby in `beamsparctl`. Exit statuses: 0 done, 1 refused or nobody answers,
2 bad settings or usage.
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
    MoveShown,
    SharesReply,
    SharingPath,
    Standing,
)
from beamspar.standby.command import NOT_DONE, NoAnswerError, addresses, call, main

# How long a question, and a command that stores something, may take.
ANSWER_S, LEAVE_S = 2.0, 10.0


def ask_shares(settings: Settings) -> dict[str, SharesReply | str]:
    """What each controller says of shares, or why it says nothing."""
    found: dict[str, SharesReply | str] = {}
    for member, address in addresses(settings).items():
        try:
            found[member] = msgspec.convert(
                call(address, SharingPath.SHARES, {}, ANSWER_S), SharesReply
            )
        except (NoAnswerError, msgspec.ValidationError) as error:
            found[member] = str(error)
    return found


def leading(found: dict[str, SharesReply | str]) -> SharesReply | None:
    """The answer of the controller that leads and decides."""
    replies = [reply for reply in found.values() if isinstance(reply, SharesReply)]
    return next((reply for reply in replies if reply.leading), None)


def describe_member(reply: SharesReply, share: MemberShare | None) -> str:
    """One line for people on one controller."""
    standing = "left: may be stopped" if reply.standing == Standing.LEFT else reply.standing
    lead = ", leads" if reply.leading else ""
    if share is None:
        return f"{standing}{lead}"
    return (
        f"{standing}{lead}, {share.machines} machines in {share.shards} blocks "
        f"(share {share.target:g}), demand {share.demand:g}, timers {share.late_s:g} s late"
    )


def describe_move(move: MoveShown) -> str:
    """One line for people on one move."""
    return f"{move.stage}: {move.shard} from {move.source} to {move.target} ({move.reason})"


@main.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")
@click.pass_obj
def shares(settings: Settings, as_json: bool) -> None:
    """Each controller's machines, demand and load, and the moves; 1 if nobody decides."""
    found = ask_shares(settings)
    leader = leading(found)
    if as_json:
        plain: dict[str, Any] = {
            member: {"error": reply} if isinstance(reply, str) else msgspec.to_builtins(reply)
            for member, reply in found.items()
        }
        click.echo(orjson.dumps(plain).decode())
    else:
        by_member = {share.member: share for share in leader.shares} if leader else {}
        for member, reply in found.items():
            if isinstance(reply, SharesReply):
                reply = describe_member(reply, by_member.get(member))
            click.echo(f"{member}: {reply}")
        for move in leader.moves if leader else ():
            click.echo(describe_move(move))
    if leader is None:
        sys.exit(NOT_DONE)


def carry_out(settings: Settings, member: str, path: SharingPath, message: Any) -> None:
    """Send a command to a controller; ends with 1 and one line if it is not taken."""
    address = addresses(settings).get(member)
    if address is None:
        click.echo(f"no controller {member}", err=True)
        sys.exit(NOT_DONE)
    try:
        reply = msgspec.convert(call(address, path, message, LEAVE_S), CommandReply)
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
    carry_out(settings, member, SharingPath.LEAVE, {"undo": undo})


@main.command()
@click.argument("shard", metavar="BLOCK")
@click.option("--to", required=True, help="The controller that shall hold the block.")
@click.pass_obj
def move(settings: Settings, shard: str, to: str) -> None:
    """Move a block to another controller; `shares` tells what becomes of it."""
    leader = leading(ask_shares(settings))
    if leader is None:
        click.echo("nobody decides", err=True)
        sys.exit(NOT_DONE)
    carry_out(settings, leader.member, SharingPath.MOVE, {"block": shard, "to": to})
