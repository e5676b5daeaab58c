"""The command ``timeline``: print the merged events of several instances."""

from __future__ import annotations

__all__ = ["run"]

from datetime import datetime, timezone
from urllib.parse import urlencode

import click
import trio

from ..kernel.decoding import decode_json
from ..kernel.events import Event, merge_events
from .status import fetch


def run(addresses: tuple[str, ...], subject: str, request_id: str) -> int:
    """Print the events of instances in order of time; return the exit code.

    :param subject: only events about it; all if empty.
    :param request_id: only events of this request; all if empty.
    """
    fields = {"subject": subject, "request_id": request_id}
    path = f"/v1/timeline?{urlencode(fields)}"
    streams = []
    for address in addresses:
        body = trio.run(fetch, address, path)
        streams.append(decode_json(body, list[Event]))
    for event in merge_events(streams):
        moment = datetime.fromtimestamp(event.stamp_ms / 1000.0, tz=timezone.utc)
        clock = moment.strftime("%H:%M:%S.%f")[:-3]
        click.echo(
            f"{clock}.{event.tick:<3} {event.process:<12} {event.kind.value:<26} "
            f"{event.subject} {event.detail} {event.request_id}".rstrip()
        )
    return 0
