"""The command line. Each command imports its module when called, to start fast."""

from __future__ import annotations

import gc
import signal
import sys
from pathlib import Path

import click

from . import __version__
from .exceptions import BadInput

EXIT_BAD_INPUT = 2
FILE = click.Path(path_type=Path, dir_okay=False)
FOLDER = click.Path(path_type=Path, file_okay=False, exists=True)


class _CommandGroup(click.Group):
    """Reports invalid input as plain lines on standard error, with exit code 2."""

    def invoke(self, ctx: click.Context) -> object:
        try:
            return super().invoke(ctx)
        except BadInput as error:
            click.echo(str(error), err=True)
            sys.exit(EXIT_BAD_INPUT)
        except ExceptionGroup as group:
            bad_input = group.subgroup(BadInput)
            if bad_input is None:
                raise
            for found in _list_leaves(bad_input):
                click.echo(str(found), err=True)
            sys.exit(EXIT_BAD_INPUT)


def _list_leaves(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    found: list[BaseException] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            found += _list_leaves(error)
        else:
            found.append(error)
    return found


@click.group(cls=_CommandGroup)
@click.version_option(__version__)
def main() -> None:
    """Celeryfold: a database proxy with session consistency."""


@main.command()
@click.option("--settings", type=FILE, required=True, help="JSON settings file.")
def instance(settings: Path) -> None:
    """Run an instance until SIGTERM."""
    from .commands import instance as command

    command.run(settings)


@main.command()
@click.option("--settings", type=FILE, help="JSON settings file of the platform.")
def proxy(settings: Path | None) -> None:
    """Run an instance on the hosting platform until SIGTERM."""
    # A SIGHUP that arrives while modules load would end the process. Ignoring it loses
    # nothing: the settings are read later, and changes are also found without a signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Loading modules leaves nothing to collect; the command enables the collector again
    # once the instance serves.
    gc.disable()
    from .commands import proxy as command

    command.run(settings)


@main.command()
@click.argument("request_id")
@click.argument("files", type=FILE, nargs=-1, required=True)
def explain(request_id: str, files: tuple[Path, ...]) -> None:
    """Show the decisions on a request, from the logs of many processes."""
    from .commands import explain as command

    command.run(request_id, list(files))


@main.command()
@click.argument("kind", type=click.Choice(["slot", "store", "list"]))
@click.option("--settings", type=FILE, required=True, help="JSON settings file.")
def standin(kind: str, settings: Path) -> None:
    """Run a stand-in of an upstream slot, the store or the instance list."""
    from .commands import standin as command

    command.run(kind, settings)


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print a line of JSON last.")
@click.option("--seconds", default=12.0, show_default=True, help="Length of the run.")
@click.option("--seed", default=1, show_default=True, help="Seed of the workload.")
def demo(as_json: bool, seconds: float, seed: int) -> None:
    """Run a deployment in one process and cut off a primary."""
    from .commands import demo as command

    sys.exit(command.run(as_json, seconds, seed))


@main.command()
@click.argument("files", type=FILE, nargs=-1, required=True)
@click.option("--page", type=FILE, help="Also write an HTML page with plots.")
def days(files: tuple[Path, ...], page: Path | None) -> None:
    """Show the largest losses of each day in journal entries of the bench."""
    from .commands import days as command

    command.run(list(files), page)


@main.command()
@click.option("--seed", default=1, show_default=True, help="The first seed.")
@click.option("--seeds", "n_seeds", default=1, show_default=True, help="Seeds to run.")
@click.option("--seconds", default=12.0, show_default=True, help="Duration per seed.")
@click.option("--instances", default=4, show_default=True, help="Instances to run.")
@click.option("--clients", default=12, show_default=True, help="Concurrent clients.")
@click.option("--only", multiple=True, help="Inject only these faults; see --list.")
@click.option("--list", "lists", is_flag=True, help="List the faults and exit.")
def soak(
    seed: int,
    n_seeds: int,
    seconds: float,
    instances: int,
    clients: int,
    only: tuple[str, ...],
    lists: bool,
) -> None:
    """Run the real processes under random faults and check the guarantees."""
    from .commands import soak as command

    if lists:
        command.print_faults()
        return
    settings = command.make_soak_settings(instances, clients, seconds, only)
    sys.exit(command.run(seed, n_seeds, settings))


@main.command()
@click.argument("folder", type=FOLDER)
def check(folder: Path) -> None:
    """Check the object set in FOLDER and print every error."""
    from .commands import check as command

    sys.exit(command.run(folder))


@main.command()
@click.argument("folder", type=FOLDER)
@click.option("--store", required=True, help="IP address and port of the store.")
@click.option("--based-on", type=int, help="Fail unless this generation is in force.")
def submit(folder: Path, store: str, based_on: int | None) -> None:
    """Check the object set in FOLDER and publish it."""
    from .commands import submit as command

    sys.exit(command.run(folder, store, based_on))


@main.command()
@click.argument("group")
@click.option("--slot", required=True, help="The slot to make primary.")
@click.option("--store", required=True, help="IP address and port of the store.")
@click.option("--give-up", is_flag=True, help="Accept the reported loss of writes.")
def recover(group: str, slot: str, store: str, give_up: bool) -> None:
    """Appoint a primary although no slot holds every acknowledged write."""
    from .commands import recover as command

    sys.exit(command.run(group, slot, store, give_up))


@main.command()
@click.option("--operator", required=True, help="Operator address of an instance.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def status(operator: str, as_json: bool) -> None:
    """Show the fleet and the groups as one instance sees them."""
    from .commands import status as command

    sys.exit(command.run(operator, as_json))


@main.command()
@click.option("--operator", "operators", multiple=True, required=True)
@click.option("--subject", default="", help="A group, slot or instance.")
@click.option("--request-id", default="", help="A request id.")
def timeline(operators: tuple[str, ...], subject: str, request_id: str) -> None:
    """Print the events of several instances, merged in order of time."""
    from .commands import timeline as command

    sys.exit(command.run(operators, subject, request_id))


@main.command()
@click.argument("measure")
@click.option("--deployment", default="cockle", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one line of JSON.")
@click.option("--report", type=FILE, help="Write an HTML report with plots.")
def bench(
    measure: str, deployment: str, seed: int, as_json: bool, report: Path | None
) -> None:
    """Run a benchmark against its baseline; `bench list` prints all names."""
    from .commands import bench as command

    sys.exit(command.run(measure, deployment, seed, as_json, report))


if __name__ == "__main__":
    main(prog_name="celeryfold")
