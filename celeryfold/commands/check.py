"""The command ``check``: validate the object set in a folder."""

from __future__ import annotations

__all__ = ["print_report", "run"]

from pathlib import Path

import click
from returns.result import Success

from ..config.check import CheckReport, check_objects, load_objects


def print_report(report: CheckReport) -> None:
    """Print errors and warnings to standard error, a line each."""
    for line in report.errors:
        click.echo(f"error: {line}", err=True)
    for line in report.warnings:
        click.echo(f"warning: {line}", err=True)


def run(folder: Path) -> int:
    """Check the object set in a folder and print the result.

    :returns: the exit code: 2 if there are errors, else 0.
    """
    checked = load_objects(folder)
    if not isinstance(checked, Success):
        report = checked.failure()
        print_report(report)
        click.echo(f"{folder}: {len(report.errors)} errors")
        return 2
    objects = checked.unwrap()
    print_report(check_objects(objects, str(folder)))
    n_services = len(objects.services)
    n_groups = len(objects.upstream_groups)
    click.echo(f"{folder}: {n_services} services, {n_groups} upstream groups, no error")
    return 0
