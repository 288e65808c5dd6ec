"""The record of a run: what was sent, answered and run, with the time since its start."""

from __future__ import annotations

import sys
import time
from pathlib import Path


class Record:
    """Writes one line for each event, at once, so that an interrupted run leaves its record."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def add(self, text: str) -> None:
        """Add a line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()

    def verdict(self, text: str) -> None:
        """Add a line that is printed as well."""
        self.add(f"VERDICT {text}")
        sys.stdout.write(text + "\n")
