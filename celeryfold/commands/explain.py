"""The command ``explain``: the decisions on a request, from the logs of processes."""

from __future__ import annotations

__all__ = ["LogLine", "explain", "read_lines", "run"]

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import click
import msgspec

from ..exceptions import BadInput, Unreadable
from ..kernel.decoding import decode_json
from ..kernel.logs import escape_text

# Log messages that change what a process takes to be the state of the deployment, with
# the field that names their subject. A line replaces the earlier one with the same
# process, message and subject.
STATE_MESSAGES = {
    "primary learned": "service",
    "configuration adopted": "",
    "upstream lost": "upstream",
    "upstream reached": "upstream",
    "store lost": "",
    "store reached": "",
    "store restored from an older copy": "",
    "primary suspected": "service",
    "successor chosen": "service",
    "promotion ordered": "service",
    "writes suspended": "service",
    "writes resumed": "service",
    "primary changed": "service",
}
STANDARD_FIELDS = ("asctime", "levelname", "name", "message", "process")


class LogLine(msgspec.Struct, frozen=True):
    """One line of a process's log.

    :param at: the time of the line, as logged; sorts as text.
    :param fields: the fields besides the standard ones.
    """

    at: str
    process: str
    message: str
    fields: dict[str, Any]

    def render(self) -> str:
        """Return the line as readable text."""
        fields_text = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.at} {self.process}: {self.message} {fields_text}".rstrip()


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines in texts, without any prefix before the JSON of a line."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = decode_json(text[start:], dict[str, Any])
        except Unreadable:
            # The line is truncated, or another program wrote it.
            continue
        if all(name in fields for name in ("asctime", "message", "process")):
            at, process, message = (
                str(fields[name]) for name in ("asctime", "process", "message")
            )
            rest = {k: v for k, v in fields.items() if k not in STANDARD_FIELDS}
            yield LogLine(at, process, message, rest)


def explain(lines: Iterable[LogLine], request_id: str) -> list[str]:
    """Return the log lines of a request in order of time, as readable text.

    The state that a process knew at the time precedes its line about the request. A
    state line is printed once, and again only after it has been logged again.
    """
    known_state: dict[tuple[str, str, str], LogLine] = {}
    shown: set[tuple[str, str, str]] = set()
    decisions: list[str] = []
    for line in sorted(lines, key=lambda line: line.at):
        if line.message in STATE_MESSAGES:
            subject = str(line.fields.get(STATE_MESSAGES[line.message], ""))
            key = (line.process, line.message, subject)
            known_state[key] = line
            shown.discard(key)
        elif line.fields.get("request") == request_id:
            for key, state_line in known_state.items():
                if key[0] == line.process and key not in shown:
                    shown.add(key)
                    decisions.append(f"  believed: {state_line.render()}")
            decisions.append(line.render())
    return decisions


def run(request_id: str, files: list[Path]) -> None:
    """Print the decisions on a request.

    :raises BadInput: if no file has a line about it.
    """
    lines: list[LogLine] = []
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            lines += read_lines(file)
    decisions = explain(lines, escape_text(request_id))
    if not decisions:
        names = ", ".join(str(path) for path in files)
        text = f"no log line about request '{request_id}' in {names}"
        raise BadInput(
            f"{text}; check the id; lines may also have been dropped or never logged"
        )
    for text in decisions:
        click.echo(text)
