"""Plot of the control bench's figures.

Run ``jasminetally bench control --json > control.json`` and then
``python -m jasminetally._bench.control_plot control.json OUT.png``. Needs the
development dependencies.
"""

from __future__ import annotations

import json
import pathlib
import sys

import matplotlib as mpl
import matplotlib.pyplot as plt

DIMENSIONS = ("routers", "engines", "budgets", "changes")
# Largest share of a core that control work of one router may use.
CORE_SHARE_LIMIT = 0.042


def plot_figures(source: pathlib.Path, target: pathlib.Path) -> None:
    """Plot the processor time of each role, one panel for each dimension.

    Args:
        source: JSON of one run of the control bench.
        target: PNG file to write.
    """
    roles = json.loads(source.read_text())["roles"]
    figure, axes = plt.subplots(1, len(DIMENSIONS), figsize=(16, 4.5))
    for axis, dimension in zip(axes, DIMENSIONS, strict=True):
        for role, measured in sorted(roles.items()):
            series = measured[dimension]
            axis.plot(
                series["sizes"], series["figures"]["cpu_s"], "o-", label=role
            )
        axis.axhline(CORE_SHARE_LIMIT, color="black", linestyle="--")
        axis.set_xscale("log")
        axis.set_yscale("log")
        axis.set_xlabel(dimension)
    axes[0].set_ylabel("processor seconds per second, one router")
    axes[0].legend(fontsize="small")
    figure.suptitle("Control work; dashed line: limit of 4.2% of a core")
    figure.tight_layout()
    figure.savefig(target, dpi=80)


if __name__ == "__main__":
    mpl.use("Agg")
    plot_figures(pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2]))
