"""The controller's command line: flags and environment variables, logging, and the reactor.

Modules of twisted are imported where they are used, because `--check` and `--help` need none of
them, and because the reactor has to be installed before another one is imported.
"""

from __future__ import annotations

import os
import sys
from typing import Any, cast

import click

from beamspar import __version__
from beamspar.settings import OperatorSettings, Settings, SettingsError, load_settings

# Exit status if the settings are invalid.
EXIT_BAD_SETTINGS = 2


def start_logging(level_name: str) -> None:
    """Write log lines of this level and above to standard error.

    An unknown level is taken as `info`. Of twisted's own lines, only errors are written.
    """
    from twisted.logger import (
        FilteringLogObserver,
        LogLevel,
        LogLevelFilterPredicate,
        globalLogBeginner,
    )

    levels = {"error": LogLevel.error, "info": LogLevel.info, "debug": LogLevel.debug}
    predicate = LogLevelFilterPredicate(levels.get(level_name, LogLevel.info))
    predicate.setLogLevelForNamespace("twisted", LogLevel.error)

    observer: Any = FilteringLogObserver(cast(Any, _write_log_line), [cast(Any, predicate)])
    globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)


def _write_log_line(event: Any) -> None:
    from twisted.logger import formatEvent

    failure = event.get("log_failure")
    text = formatEvent(event)
    if failure is not None:
        text += "\n" + failure.getTraceback()
    level = getattr(event.get("log_level"), "name", "info")
    sys.stderr.write(f"{level} {event.get('log_namespace', '')}: {text}\n")
    sys.stderr.flush()


def serve(settings: Settings, operator_settings: OperatorSettings) -> None:
    """Run one controller until it is killed."""
    import gc
    import random

    from beamspar.transport.tcp import TcpNet, install_monotonic_reactor

    reactor: Any = install_monotonic_reactor()

    from beamspar.node.node import Node
    from beamspar.timeouts import Timeouts
    from beamspar.transport.clock import run_in_background
    from beamspar.transport.connection_limits import SocketLimits

    start_logging(os.environ.get("LOG_LEVEL", "info"))
    timeouts = Timeouts(settings, operator_settings)
    sockets = SocketLimits.of(settings.platform.limits.sockets, settings.platform.nodes)
    net = TcpNet(reactor, timeouts.request_timeout_s, timeouts.keep_alive_s, sockets)
    node = Node(reactor, net, settings, operator_settings, random.Random())
    reactor.callWhenRunning(run_in_background, node.start(), "start")
    # Everything loaded by now stays in use, so exempt it from garbage collection.
    gc.freeze()
    gc.enable()
    reactor.run()


@click.command()
@click.option("--config", required=True, type=str, help="The platform's settings file (TOML).")
@click.option("--check", is_flag=True, help="Validate the settings and stop.")
@click.option(
    "--block-size",
    default=0,
    show_default=True,
    envvar="BEAMSPAR_BLOCK_SIZE",
    type=click.IntRange(0, 100),
    help="Machines that are leased together; 0: as fits the fleet and the state service.",
)
@click.option(
    "--lease-share",
    default=1.0,
    show_default=True,
    envvar="BEAMSPAR_LEASE_SHARE",
    type=click.FloatRange(0.1, 1.0),
    help="Lease length as a share of the longest safe one.",
)
@click.option(
    "--headroom",
    default=0.2,
    show_default=True,
    envvar="BEAMSPAR_HEADROOM",
    type=click.FloatRange(0.0, 10.0),
    help="Free room kept, as a share of each class's tasks.",
)
@click.option(
    "--standby/--no-standby",
    default=False,
    show_default=True,
    envvar="BEAMSPAR_STANDBY",
    help="Follow the leader's decisions, and take over within seconds when it fails.",
)
@click.option(
    "--sharing/--no-sharing",
    default=False,
    show_default=True,
    envvar="BEAMSPAR_SHARING",
    help="Move machines between controllers by load, on request, and when one leaves.",
)
@click.version_option(__version__, prog_name="beamspar")
def main(
    config: str,
    check: bool,
    block_size: int,
    lease_share: float,
    headroom: float,
    standby: bool,
    sharing: bool,
) -> None:
    """Run one beamspar controller."""
    try:
        settings = load_settings(config)
    except SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo(f"{config}: settings are in order")
        return
    operator_settings = OperatorSettings(
        block_size=block_size,
        lease_share=lease_share,
        headroom=headroom,
        standby=standby,
        sharing=sharing,
    )
    serve(settings, operator_settings)
