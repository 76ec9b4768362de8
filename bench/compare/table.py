"""Writes the differences between ways as a table and a plot."""

from __future__ import annotations

import math
from collections.abc import Iterable
from pathlib import Path

from bench.compare.differences import WORTH, Difference

ALL_DAYS = "all days"
# Smaller differences in parts, classes and prices are left out of the table.
MIN_SHOWN = 0.005


def build_table(differences: Iterable[Difference]) -> str:
    """Return a Markdown table; only worth is listed for each day."""
    lines = [
        "| way | day | measure | reference | difference | error | pairs | needed |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    lines += [_format(one) for one in differences if _is_shown(one)]
    return "\n".join(lines)


def draw(differences: Iterable[Difference], path: Path) -> None:
    """Draw the differences in worth with two standard errors, by day and way."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    worth = [one for one in differences if one.measure == WORTH]
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.3 * len(worth)))
    names = [f"{one.title or ALL_DAYS}, {one.way}" for one in worth]
    errors = [2 * one.error if math.isfinite(one.error) else 0.0 for one in worth]
    axes.errorbar(
        [one.difference for one in worth], names, xerr=errors, fmt="o", capsize=3
    )
    axes.axvline(0.0, color="grey")
    axes.set_xlabel("difference in worth, with two standard errors")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _is_shown(one: Difference) -> bool:
    if one.measure == WORTH:
        return True
    return not one.title and abs(one.difference) >= MIN_SHOWN


def _format(one: Difference) -> str:
    error = f"{one.error:.3f}" if math.isfinite(one.error) else "-"
    needed = "-" if one.pairs_needed is None else str(one.pairs_needed)
    mark = " *" if one.seen else ""
    return (
        f"| {one.way} | {one.title or ALL_DAYS} | {one.measure} | {one.reference:.3f} "
        f"| {one.difference:+.3f}{mark} | {error} | {one.pairs} | {needed} |"
    )
