"""Decoding of benchmark journal entries into scored days and their losses."""

from __future__ import annotations

__all__ = ["Day", "Journal", "Loss", "load_journal"]

from pathlib import Path
from typing import Any

import msgspec

from ..exceptions import BadInput, Unreadable
from ..kernel.decoding import decode_json


class Loss(msgspec.Struct, frozen=True):
    """Reduction of a day's score by one of its parts.

    :param worth: score points lost.
    :param amount: quantity counted, in the unit of the part; 0 for parts of the credit.
    """

    name: str
    worth: float
    amount: float = 0.0


class Day(msgspec.Struct, frozen=True):
    """Results of one benchmark day.

    :param is_quiet: whether the day has neither faults nor high load.
    :param worth: score of the day.
    :param broken: names of the rules broken.
    :param fault: why the day counts for nothing although no rule was broken, or empty.
    """

    name: str
    is_quiet: bool
    worth: float
    served: float
    refused: float
    failed: float
    losses: tuple[Loss, ...]
    broken: tuple[str, ...]
    fault: str = ""

    def find_largest_loss(self) -> Loss | None:
        """Return the largest loss, or None if nothing was lost."""
        return max(self.losses, key=lambda loss: loss.worth, default=None)


class Journal(msgspec.Struct, frozen=True):
    """One benchmark run of several days at one site."""

    site: str
    at: str
    why: str
    days: tuple[Day, ...]

    def compute_mean_worth(self) -> float | None:
        """Return the mean score of the days that are not quiet, or None without any."""
        worths = [day.worth for day in self.days if not day.is_quiet]
        return sum(worths) / len(worths) if worths else None


class _DayBody(msgspec.Struct):
    name: str
    # The score: credit less prices, not yet placed between the day's reference marks.
    G: float
    slot: str = ""
    served: float = 0.0
    refused: float = 0.0
    failed: float = 0.0
    # Rows of name, weight and earned share of the owed credit.
    parts: list[tuple[str, float, float]] = []
    # Rows of name, amount and cost.
    prices: list[tuple[str, float, float]] = []
    rules: dict[str, Any] = {}
    fault: str | None = None


class _JournalBody(msgspec.Struct):
    days: list[_DayBody]
    # Absent if the run did not finish.
    site: str | None = None
    at: list[str] = []
    why: str = ""


def load_journal(path: Path) -> Journal:
    """Load a journal entry from a file.

    :raises BadInput: if the file is missing or malformed or its run did not finish;
        the message names the file and the correction.
    """
    try:
        body = decode_json(path.read_bytes(), _JournalBody)
    except OSError as error:
        raise BadInput(f"{path}: {error.strerror}; name a file that exists") from error
    except Unreadable as error:
        raise BadInput(f"{path}: {error}; give a journal entry") from error
    if body.site is None or not body.days:
        raise BadInput(f"{path}: no completed days; give the entry of a finished run")
    days = tuple(_make_day(day) for day in body.days)
    return Journal(body.site, body.at[0] if body.at else "", body.why, days)


def _make_day(body: _DayBody) -> Day:
    losses = [Loss(n, weight * (1.0 - value)) for n, weight, value in body.parts]
    losses += [Loss(name, cost, amount) for name, amount, cost in body.prices]
    return Day(
        name=body.name,
        is_quiet=body.slot == "quiet",
        worth=body.G,
        served=body.served,
        refused=body.refused,
        failed=body.failed,
        losses=tuple(loss for loss in losses if loss.worth > 0.0),
        broken=tuple(sorted(body.rules)),
        fault=body.fault or "",
    )
