"""The operators' command: show which controller leads or follows, and hand over leadership.

It calls the controllers at their peer addresses, which the settings file lists. Exit statuses:
0 done, 1 no controller leads or leadership was not handed over, 2 invalid settings or usage.
"""

from __future__ import annotations

import sys
import urllib.error
import urllib.request
from typing import Any

import click
import msgspec
import orjson

from beamspar.settings import Settings, SettingsError, load_settings
from beamspar.standby.messages import HandOverReply, StandbyPath, StandbyStatus

NOT_DONE, BAD_SETTINGS = 1, 2
# Timeouts of a call: a hand-over includes an election, other calls only read state.
STATUS_TIMEOUT_S, HAND_OVER_TIMEOUT_S = 2.0, 10.0


class NoAnswerError(Exception):
    """The controller sent no usable response."""


def call(address: str, path: str, message: Any, timeout_s: float) -> Any:
    """Send a message to a controller and return its response. Raises NoAnswerError."""
    request = urllib.request.Request(
        f"http://{address}/peer/{path}", data=orjson.dumps(message), method="POST"
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return orjson.loads(response.read())
    except urllib.error.HTTPError as error:
        raise NoAnswerError(f"answers {error.code}: is it turned on there?") from error
    except (OSError, orjson.JSONDecodeError) as error:
        raise NoAnswerError(f"does not answer: {error}") from error


def addresses(settings: Settings) -> dict[str, str]:
    """Return the peer address of every controller."""
    by_member = {settings.member: settings.peer_bind}
    by_member.update({peer.member: peer.peer_addr for peer in settings.peers})
    return dict(sorted(by_member.items()))


def statuses(settings: Settings) -> dict[str, StandbyStatus | str]:
    """Return each controller's status, or the reason why it sent none."""
    by_member: dict[str, StandbyStatus | str] = {}
    for member, address in addresses(settings).items():
        try:
            response = call(address, StandbyPath.STATUS, {}, STATUS_TIMEOUT_S)
            by_member[member] = msgspec.convert(response, StandbyStatus)
        except (NoAnswerError, msgspec.ValidationError) as error:
            by_member[member] = str(error)
    return by_member


def describe(status: StandbyStatus) -> str:
    """Return the status as one line of text."""
    if status.is_leading:
        state = "decides" if status.is_deciding else "leads, and confirms who is alive"
        order = ", ".join(status.succession) or "nobody"
        return f"{state}, term {status.term}, {status.index} decisions; next: {order}"
    copied = f"copied up to {status.index} of term {status.term}, lag {status.lag}"
    return f"follows {status.leader or 'nobody'}, {copied}"


@click.group()
@click.option("--config", required=True, type=str, help="A controller's settings file (TOML).")
@click.pass_context
def main(context: click.Context, config: str) -> None:
    """Look at the controllers' lead, and hand it over."""
    try:
        context.obj = load_settings(config)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(BAD_SETTINGS)


@main.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object instead of text.")
@click.pass_obj
def status(settings: Settings, as_json: bool) -> None:
    """Who leads and who follows; exits with 1 if nobody decides."""
    by_member = statuses(settings)
    if as_json:
        plain = {
            member: {"error": value} if isinstance(value, str) else msgspec.to_builtins(value)
            for member, value in by_member.items()
        }
        click.echo(orjson.dumps(plain).decode())
    else:
        for member, value in by_member.items():
            click.echo(f"{member}: {value if isinstance(value, str) else describe(value)}")
    if not any(
        isinstance(value, StandbyStatus) and value.is_deciding for value in by_member.values()
    ):
        sys.exit(NOT_DONE)


@main.command("hand-over")
@click.option("--to", default="", help="The controller that shall lead; else the first in order.")
@click.pass_obj
def hand_over(settings: Settings, to: str) -> None:
    """Let another controller lead, for instance before this one is restarted."""
    leaders = [
        status
        for status in statuses(settings).values()
        if isinstance(status, StandbyStatus) and status.is_deciding
    ]
    if not leaders:
        click.echo("nobody decides", err=True)
        sys.exit(NOT_DONE)
    address = addresses(settings)[leaders[0].member]
    try:
        response = call(address, StandbyPath.HAND_OVER, {"to": to}, HAND_OVER_TIMEOUT_S)
        reply = msgspec.convert(response, HandOverReply)
    except (NoAnswerError, msgspec.ValidationError) as error:
        click.echo(f"{leaders[0].member}: {error}", err=True)
        sys.exit(NOT_DONE)
    if not reply.is_done:
        click.echo(f"not handed over: {reply.reason}", err=True)
        sys.exit(NOT_DONE)
    click.echo(f"{reply.leader} leads")
