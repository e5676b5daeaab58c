"""The command ``status``: print the state of the fleet as one instance sees it."""

from __future__ import annotations

__all__ = ["fetch", "run"]

import click
import trio

from ..exceptions import BadInput
from ..http_handlers import InstanceReport
from ..kernel.decoding import decode_json
from ..wire.client import HttpClient, ResponseLost, Unreachable

TIMEOUT_S = 3.0


async def fetch(address: str, path: str) -> bytes:
    """Return the body of an instance's response on its operator listener.

    :param address: host and port of the listener.
    :raises BadInput: if the instance does not answer within ``TIMEOUT_S``.
    """
    client = HttpClient(address)
    try:
        with trio.fail_after(TIMEOUT_S):
            response = await client.request("GET", path)
    except (ResponseLost, Unreachable, trio.TooSlowError) as error:
        text = f"--operator {address}: no response from an instance; check the address"
        raise BadInput(text) from error
    finally:
        await client.close()
    return response.body


def run(address: str, as_json: bool) -> int:
    """Print the state that an instance reports; return the exit code."""
    body = trio.run(fetch, address, "/v1/status")
    if as_json:
        click.echo(body.decode())
        return 0
    report = decode_json(body, InstanceReport)
    click.echo(f"instance {report.instance}, generation {report.generation}")
    for member in report.members:
        click.echo(
            f"  {member.instance_id:<16} {member.place:<12} {member.state.value}"
        )
    for known in report.records:
        record = known.record
        state = "started" if record.started else "starting"
        confirming = ", ".join(sorted(record.confirming))
        click.echo(
            f"  {known.group:<16} term {record.term} ({state}) primary "
            f"{record.primary}, confirmed by {confirming}"
        )
    for slot in report.leaving_slots:
        click.echo(f"  {slot} is leaving")
    return 0
