"""The command ``bench``: run a benchmark and print its figures beside a baseline."""

from __future__ import annotations

__all__ = ["run"]

import importlib
from pathlib import Path

import click
import msgspec

from ..bench.report import MEASURES, Report
from ..kernel.logs import configure_logging

MEASURE_MODULES = (
    "control",
    "load_spike",
    "failover",
    "fanout",
    "faults",
    "head_of_line",
    "path",
    "replica_reads",
    "state",
)

# Figures that make the command fail if they are above zero.
VIOLATION_COUNTS = ("n_lost", "n_doubled", "n_stale_reads", "n_false_not_run")


def run(
    measure: str, deployment: str, seed: int, as_json: bool, report_file: Path | None
) -> int:
    """Run a benchmark and print its figures.

    :param measure: the name of the benchmark; ``list`` prints all names instead.
    :param report_file: file for an HTML report, or None.
    :returns: the exit code: 1 if a consistency guarantee was violated, else 0.
    """
    configure_logging("ERROR", "bench")
    for module in MEASURE_MODULES:
        importlib.import_module(f"celeryfold.bench.{module}")
    if measure == "list":
        click.echo("\n".join(MEASURES.names()))
        return 0
    report = MEASURES.find(measure)().run(deployment, seed)
    if report_file is not None:
        from ..bench.pages import write_page

        write_page(report, report_file)
    if as_json:
        click.echo(msgspec.json.encode(report).decode())
    else:
        _print_table(report)
    return 1 if any(report.celeryfold.get(name) for name in VIOLATION_COUNTS) else 0


def _print_table(report: Report) -> None:
    click.echo(f"{report.measure} ({report.deployment}, seed {report.seed})")
    click.echo(f"baseline: {report.baseline_is}")
    click.echo(f"  {'figure':<28}{'baseline':>14}{'celeryfold':>14}{'ratio':>10}")
    for name in report.celeryfold | report.baseline:
        theirs = report.baseline.get(name, "-")
        ours = report.celeryfold.get(name, "-")
        ratio = report.ratio.get(name, "")
        click.echo(f"  {name:<28}{theirs!s:>14}{ours!s:>14}{ratio!s:>10}")
