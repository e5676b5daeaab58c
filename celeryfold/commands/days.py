"""The command ``days``: the largest losses of each day in the bench's journals."""

from __future__ import annotations

__all__ = ["run"]

from pathlib import Path

import click

from ..bench.days import HEADINGS, list_rows, write_days_page
from ..exceptions import BadInput
from ..platform.journals import Journal, load_journal


def run(files: list[Path], page: Path | None) -> None:
    """Print a table for each journal entry.

    :param page: file for an additional HTML page, or None.
    :raises BadInput: with a line for each file that cannot be read.
    """
    journals: list[Journal] = []
    errors = []
    for file in files:
        try:
            journals.append(load_journal(file))
        except BadInput as error:
            errors.append(str(error))
    if errors:
        raise BadInput("\n".join(errors))
    for journal in journals:
        _print(journal)
    if page is not None:
        write_days_page(journals, page)


def _print(journal: Journal) -> None:
    click.echo(f"{journal.site}, {journal.at}: {journal.why}")
    rows = [HEADINGS, *list_rows(journal)]
    widths = [max(len(row[n]) for row in rows) for n in range(len(HEADINGS))]
    for row in rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        click.echo("  " + "  ".join(cells).rstrip())
    mean = journal.compute_mean_worth()
    if mean is not None:
        click.echo(f"  mean worth of days of trouble and high load: {mean:.3f}")
