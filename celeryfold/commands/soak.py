"""The command ``soak``: seeded runs of the real processes under random faults."""

from __future__ import annotations

__all__ = ["make_soak_settings", "print_faults", "run"]

import shutil
import tempfile
from pathlib import Path

import click

from ..exceptions import BadInput
from ..soak import SoakReport, SoakSettings, run_soak
from ..soak.faults import FAULTS


def print_faults() -> None:
    """Print the faults that ``--only`` accepts."""
    for name in FAULTS.names():
        click.echo(name)


def make_soak_settings(
    n_instances: int, n_clients: int, seconds: float, only: tuple[str, ...]
) -> SoakSettings:
    """Return the parameters of a soak run.

    :param seconds: the time during which faults are injected, in seconds.
    :param only: the faults to choose from; empty for all.
    :raises BadInput: with a line for each invalid option and its fix.
    """
    errors = []
    for option, number in (("instances", n_instances), ("clients", n_clients)):
        if number < 1:
            errors.append(f"--{option}: {number} is too few; give 1 or more")
    if seconds <= 0:
        errors.append(f"--seconds: {seconds} is too short; give more than 0")
    for name in only:
        if name not in FAULTS.names():
            errors.append(f"--only: unknown fault '{name}'; see --list for all names")
    if errors:
        raise BadInput("\n".join(errors))
    return SoakSettings(n_instances, n_clients, seconds, only)


def run(seed: int, n_seeds: int, settings: SoakSettings) -> int:
    """Run the seeds one after another and print a summary.

    The logs of a seed that violates a guarantee are kept; those of others are deleted.

    :param seed: the first seed.
    :returns: the exit code: 1 if a seed violated a guarantee, else 0.
    """
    n_failed = 0
    for number in range(seed, seed + n_seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"celeryfold-soak-{number}-"))
        report = run_soak(number, settings, folder)
        _print(report, folder)
        if report.broken:
            n_failed += 1
        else:
            shutil.rmtree(folder)
    click.echo(f"{n_seeds} seeds, {n_failed} with violations")
    return 1 if n_failed else 0


def _print(report: SoakReport, folder: Path) -> None:
    word = "broken" if report.broken else "held"
    click.echo(
        f"seed {report.seed}: {word}; {report.n_succeeded} answers, "
        f"{report.n_refused} refused, {report.n_unknown} sessions broken off, "
        f"{report.n_promotions} promotions, back after {report.recovery_s:.1f} s, "
        f"{report.n_checked_keys} checks of withdrawn keys"
    )
    if report.broken:
        click.echo(f"  logs: {folder}")
        for text in (*report.broken, *report.injected):
            click.echo(f"  {text}")
