"""The command ``submit``: check and publish the object set in a folder."""

from __future__ import annotations

__all__ = ["run"]

from pathlib import Path

import click
import trio
from returns.result import Success

from ..config.check import load_objects
from ..config.publishing import Conflict, publish
from ..drivers.http_store import HttpStore
from ..drivers.ordered_store import OrderedStore
from ..kernel.ids import Generation
from .check import print_report


def run(folder: Path, store: str, based_on: int | None) -> int:
    """Check and publish the object set in a folder.

    :param store: the address of the store.
    :param based_on: the generation that must be in force; None for any.
    :returns: the exit code: 2 if the set is invalid, 1 if it was not published or
        the outcome is unknown, else 0.
    """
    checked = load_objects(folder)
    if not isinstance(checked, Success):
        print_report(checked.failure())
        return 2
    base = Generation(based_on) if based_on is not None else None
    result = trio.run(publish, OrderedStore(HttpStore(store)), checked.unwrap(), base)
    if isinstance(result, Success):
        pointer = result.unwrap()
        click.echo(f"generation {pointer.generation} accepted ({pointer.digest})")
        return 0
    failure = result.failure()
    if isinstance(failure, Conflict):
        generation = failure.current.generation
        click.echo(f"conflict: generation {generation} is in force", err=True)
        for name in failure.changed:
            click.echo(f"  differs: {name}", err=True)
        return 1
    click.echo(failure.text, err=True)
    return 1
