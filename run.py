"""Thin entry: puts the built libraries and the sources on the path and hands over.

The build puts a compiled copy of the sources, this file among them, beside the libraries:
compiling them anew was more than a third of the processor time of each start.
"""

import gc
import sys
from pathlib import Path

# Nothing that is loaded now is ever garbage; `cli.serve` turns the collector on again.
gc.disable()
ROOT = Path(__file__).resolve().parent
# In a work tree the libraries lie below it, in the built copy beside it.
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps"), str(ROOT.parent / "deps")]

from beamspar.cli import main  # noqa: E402

if __name__ == "__main__":
    main()
