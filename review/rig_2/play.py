"""Play one case: `python3 play.py FOLDER`; exits with 1 if the rule was broken, 0 if it held.

With the variable TROUBLE=0 the case is played without its disruption. The status is 2 if the case
couldn't be played.
"""

from __future__ import annotations

import asyncio
import os
import runpy
import signal
import sys
import traceback
from pathlib import Path

BUILT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(BUILT), str(BUILT.parent / "deps")]

HELD, BROKEN, NOT_PLAYED = 0, 1, 2
TIME_LIMIT_S = 118


def main(folder: Path) -> int:
    """Play the case of the folder; return the exit status."""
    from rig_2.record import Record

    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {'on' if trouble else 'off'}")
    case = runpy.run_path(str(folder / "case.py"))
    # However the case ends, it ends the processes that it started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    signal.signal(signal.SIGALRM, signal.default_int_handler)
    signal.alarm(TIME_LIMIT_S)
    try:
        broken = asyncio.run(case["play"](record, trouble))
    except (Exception, KeyboardInterrupt):
        record.verdict("not played: " + traceback.format_exc())
        return NOT_PLAYED
    if broken is None:
        record.verdict("not played")
        return NOT_PLAYED
    record.verdict(f"rule broken: {broken}" if broken else "rule held")
    return BROKEN if broken else HELD


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]).resolve()))
