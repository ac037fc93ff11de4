"""Router process with a defect, see ``defects``.

``python -m testing.soak.defective_router NAME`` in the repository's root.
"""

from __future__ import annotations

import pathlib
import runpy
import signal
import sys

# As in platform/main.py, before the imports that take long.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from testing.soak import defects  # noqa: E402

ADAPTER_FOLDER = pathlib.Path(__file__).parents[2] / "platform"

if __name__ == "__main__":
    defects.find_defect(sys.argv[1]).apply()
    sys.path.insert(0, str(ADAPTER_FOLDER))
    runpy.run_path(str(ADAPTER_FOLDER / "main.py"), run_name="__main__")
