"""Measures, prints and plots the costs from which docs/CAPACITY.md is computed.

    .venv/bin/python -m benchmarks.slopes      # all subjects; docs/CAPACITY.md says how long it takes
    .venv/bin/python -m benchmarks.slopes --only decisions,letters
    .venv/bin/python -m benchmarks.slopes --small --out FOLDER   # small sizes only, for a quick run

Points are stored in `slopes.json` in the given folder, by subject and name; a run replaces the series it measured.
"""

from __future__ import annotations

import subprocess
import sys
import time
from importlib import import_module
from pathlib import Path

import click
import matplotlib
import msgspec
from tqdm import tqdm

from benchmarks.slopes.series import Series, fit, reference_us

SUBJECTS = (
    "decisions",
    "lists",
    "letters",
    "tenants",
    "latency",
    "configuration",
    "membership",
    "votes",
    "restarts",
    "losses",
    "hollow",
    "distribution",
    "few",
    "following",
)


def load_series(path: Path) -> list[Series]:
    """Reads the stored series; none if the file does not exist."""
    return msgspec.json.decode(path.read_bytes(), type=list[Series]) if path.exists() else []


def store_series(path: Path, fresh: list[Series]) -> list[Series]:
    """Stores series, replacing those of the same subject and name; returns all, sorted by subject and name."""
    table = {(series.subject, series.name): series for series in [*load_series(path), *fresh]}
    path.parent.mkdir(parents=True, exist_ok=True)
    found = [table[at] for at in sorted(table)]
    path.write_bytes(msgspec.json.format(msgspec.json.encode(found), indent=1) + b"\n")
    return found


def format_series(series: Series) -> str:
    """The series' points and fitted line as text."""
    line = fit(series.points)
    points = "  ".join(f"{size:g}: {value:.4g}" for size, value in series.points)
    grown = f"{line.start:.4g} + {line.slope:.4g} (+-{line.slope_spread:.2g}) x {series.by}"
    power = f"power {line.power:.2f} (+-{line.power_spread:.2f})"
    return f"{series.subject}.{series.name} [{series.unit}]\n    {points}\n    {grown}; {power}"


def plot(subject: str, subject_series: list[Series], folder: Path) -> Path:
    """Plots a subject's points and fitted lines, one panel for each unit and size, and returns the file."""
    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    units = list(dict.fromkeys((series.unit, series.by) for series in subject_series))
    figure, axes = plt.subplots(1, len(units), figsize=(6 * len(units), 4.5), squeeze=False)
    for axis, (unit, by) in zip(axes[0], units, strict=True):
        for series in subject_series:
            if (series.unit, series.by) != (unit, by):
                continue
            line, sizes = fit(series.points), [size for size, _ in series.points]
            drawn_at = [max(line.at(size), 1e-9) for size in sizes]
            (drawn,) = axis.plot(sizes, [value for _, value in series.points], "o", label=series.name)
            axis.plot(sizes, drawn_at, "-", color=drawn.get_color(), lw=0.8)
        axis.set(xscale="log", yscale="log", xlabel=by, ylabel=unit)
        axis.grid(True, which="major", alpha=0.3)
        axis.legend(fontsize=7)
    figure.suptitle(f"{subject}: points and fitted lines")
    figure.tight_layout()
    path = folder / f"{subject}.png"
    figure.savefig(path, dpi=80)
    plt.close(figure)
    return path


@click.command()
@click.option("--only", default="", help="Subjects to measure, separated by commas (default: all).")
@click.option("--small", is_flag=True, help="Measure small sizes only, for a quick run.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("docs/capacity"))
def main(only: str, small: bool, out: Path) -> None:
    """Measures subjects, stores their series and plots them."""
    chosen = [name for name in only.split(",") if name] or list(SUBJECTS)
    head = ["git", "rev-parse", "--short", "HEAD"]
    commit = subprocess.run(head, capture_output=True, text=True, check=True).stdout.strip()
    for subject in tqdm(chosen, file=sys.stderr, disable=None):
        module = import_module(f"benchmarks.slopes.{subject}")
        reference = reference_us()
        measured: list[Series] = module.measure(small)
        at = time.strftime("%Y-%m-%d", time.gmtime())
        stamped = [
            msgspec.structs.replace(series, commit=commit, at=at, reference_us=round(reference, 1))
            for series in measured
        ]
        found = store_series(out / "slopes.json", stamped)
        for series in stamped:
            print(format_series(series), flush=True)
        plot(subject, [series for series in found if series.subject == subject], out)


if __name__ == "__main__":
    main()
