"""Entry point of the operators' command: puts libraries and sources on the path and runs it."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

from beamspar.sharing.command import main  # noqa: E402

if __name__ == "__main__":
    main()
