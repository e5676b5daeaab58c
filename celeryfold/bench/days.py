"""Limiting factors of each day of the users' benchmark, as a table and an HTML page."""

from __future__ import annotations

__all__ = ["list_rows", "write_days_page"]

import html
from collections.abc import Sequence
from pathlib import Path

from ..platform.journals import Day, Journal
from .pages import STYLE, draw_stacks

HEADINGS = ("day", "worth", "served", "refused", "failed", "binds", "rules")
# Smaller losses are within the noise of the measured CPU time.
LEAST_SHOWN = 0.002
N_LARGEST_SHOWN = 3
PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Days on the platform</title>
<style>{style}</style></head><body>
<h1>Days on the platform</h1>
{sites}
</body></html>
"""


def list_rows(journal: Journal) -> list[tuple[str, ...]]:
    """Return a table row for each day, with the columns of :data:`HEADINGS`."""
    return [
        (
            day.name,
            f"{day.worth:.3f}",
            f"{day.served:.3f}",
            f"{day.refused:.3f}",
            f"{day.failed:.3f}",
            ", ".join(_list_largest(day)),
            _describe_rules(day),
        )
        for day in journal.days
    ]


def _describe_rules(day: Day) -> str:
    """Return the broken rules and the fault of a day, or that all rules were kept."""
    found = [" ".join(day.broken)] if day.broken else []
    found += [f"fault: {day.fault}"] if day.fault else []
    return "; ".join(found) or "kept"


def _list_largest(day: Day) -> list[str]:
    largest = sorted(day.losses, key=lambda loss: -loss.worth)[:N_LARGEST_SHOWN]
    return [f"{loss.name} {loss.worth:.3f}" for loss in largest]


def write_days_page(journals: Sequence[Journal], file: Path) -> None:
    """Write a page with a table and a plot for each journal entry.

    :raises BadInput: if matplotlib is not installed.
    """
    sites = "\n".join(_make_section(journal) for journal in journals)
    file.write_text(PAGE.format(style=STYLE, sites=sites))


def _make_section(journal: Journal) -> str:
    title = html.escape(f"{journal.site}, {journal.at}")
    mean = journal.compute_mean_worth()
    text = "none" if mean is None else f"{mean:.3f}"
    head = "".join(f"<th>{name}</th>" for name in HEADINGS)
    rows = "\n".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
        for row in list_rows(journal)
    )
    return f"""<h2>{title}</h2>
<p>{html.escape(journal.why)}</p>
<p>Mean worth of days of trouble and high load: {text}.</p>
<table><tr>{head}</tr>
{rows}</table>
{_draw_losses(journal)}"""


def _draw_losses(journal: Journal) -> str:
    """Plot the loss of each day, stacked by cause."""
    names = {
        loss.name
        for day in journal.days
        for loss in day.losses
        if loss.worth >= LEAST_SHOWN
    }
    stacks = {name: [_sum_loss(day, name) for day in journal.days] for name in names}
    ordered = dict(sorted(stacks.items(), key=lambda item: -sum(item[1])))
    return draw_stacks("worth lost", [day.name for day in journal.days], ordered)


def _sum_loss(day: Day, name: str) -> float:
    return sum(loss.worth for loss in day.losses if loss.name == name)
