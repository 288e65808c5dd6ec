"""Digests of all calls in the scenarios, which show whether a change alters the behaviour.

    PYTHONHASHSEED=0 python -m tests.call_traces write FILE [SCENARIO ...]
    PYTHONHASHSEED=0 python -m tests.call_traces compare FILE [SCENARIO ...]

A digest covers each call on the simulated network in order: its time, caller, method, address,
path and body, and the response. `write` stores the digests of the named scenarios, or of all, as
JSON; `compare` plays the scenarios that FILE lists, or the named ones, and exits with status 1 if
a digest differs. A change that alters the behaviour on purpose has to rewrite the file.
"""

from __future__ import annotations

import hashlib
import json
import os
import sys
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

from beamspar.transport.http import HttpResponse
from tests.standins.net import Network
from tests.test_scenarios import FILES, play

# Number of scenarios played at the same time.
PROCESSES = 4
# Characters of a stored digest.
DIGEST_LENGTH = 16


class CallTrace:
    """Hashes the calls of a simulated network in the order in which they happen."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self.digest = hashlib.sha256()
        self.request = network.request
        network.request = self.record  # type: ignore[method-assign]

    def record(
        self,
        source: str,
        method: str,
        address: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> Any:
        """Make the call; add it and its response to the digest."""
        self.add("call", source, method, address, path, body, timeout_s)

        def on_response(response: HttpResponse) -> HttpResponse:
            self.add("answer", source, address, path, response.status, response.body)
            return response

        return self.request(source, method, address, path, body, timeout_s).addCallback(on_response)

    def add(self, *parts: object) -> None:
        """Add one event at the current simulated time."""
        self.digest.update(repr((self.network.clock.seconds(), *parts)).encode())


def digest_of(path: Path) -> tuple[str, str]:
    """Play the scenario; return its name and the digest of its calls."""
    traces: list[CallTrace] = []
    play(path, on_network=lambda network: traces.append(CallTrace(network)))
    return path.stem, traces[0].digest.hexdigest()[:DIGEST_LENGTH]


def digests_of(names: Iterable[str]) -> dict[str, str]:
    """Return the digests of the scenarios with these names."""
    requested_names = set(names)
    paths = [path for path in FILES if path.stem in requested_names]
    assert len(paths) == len(requested_names), requested_names - {path.stem for path in paths}
    with ProcessPoolExecutor(PROCESSES) as pool:
        return dict(pool.map(digest_of, paths))


def main(arguments: list[str]) -> int:
    """Write or compare digests; return the exit status."""
    if len(arguments) < 2 or arguments[0] not in ("write", "compare"):
        print(__doc__)
        return 2
    if os.environ.get("PYTHONHASHSEED") != "0":
        print("PYTHONHASHSEED must be 0: the order of calls depends on the order of sets")
        return 2
    mode, file, names = arguments[0], Path(arguments[1]), arguments[2:]
    if mode == "write":
        digests = digests_of(names or [path.stem for path in FILES])
        file.write_text(json.dumps(digests, indent=0, sort_keys=True) + "\n")
        return 0
    stored = json.loads(file.read_text())
    current = digests_of(names or stored)
    changed = sorted(name for name, digest in current.items() if stored[name] != digest)
    print(f"{len(current) - len(changed)} of {len(current)} scenarios make the same calls")
    for name in changed:
        print(f"{name}: calls differ")
    return 1 if changed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
