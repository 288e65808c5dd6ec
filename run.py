"""Entry point of a controller: puts the built libraries and the sources on the path and runs it.

The build puts a compiled copy of the sources, including this file, beside the libraries, because
compiling them takes more than a third of the processor time of a start.
"""

import gc
import sys
from pathlib import Path

# Nothing loaded during startup becomes garbage; `cli.serve` enables the collector again.
gc.disable()
ROOT = Path(__file__).resolve().parent
# In a work tree the libraries are below this directory, in the built copy they are beside it.
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps"), str(ROOT.parent / "deps")]

from beamspar.cli import main  # noqa: E402

if __name__ == "__main__":
    main()
