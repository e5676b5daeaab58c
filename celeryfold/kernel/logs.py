"""Logging set-up: JSON lines, or plain text on a terminal."""

from __future__ import annotations

__all__ = [
    "RateLimitedHandler",
    "configure_logging",
    "configure_stdout_logging",
    "escape_text",
    "make_formatter",
]

import logging
import math
import os
import sys
import time
from enum import Enum
from typing import Any

from pythonjsonlogger.json import JsonFormatter

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
JSON_FIELDS = ["asctime", "levelname", "name", "message"]
# Token bucket of log lines: the refill rate and the capacity.
N_LINES_PER_SECOND = 50.0
N_BURST_LINES = 300.0
# In characters; callers choose ids and statements of up to 1 MiB.
MAX_FIELD_LENGTH = 1000
MAX_TRACEBACK_LENGTH = 20_000
MAX_DEPTH = 5
TRACEBACK_FIELDS = {"exc_info", "stack_info"}


def configure_logging(level: str, process: str) -> None:
    """Log to standard error: plain text on a terminal, otherwise JSON lines.

    :param level: a level name of the logging module, such as ``INFO``.
    :param process: the process name in each JSON line.
    """
    handler = logging.StreamHandler(sys.stderr)
    if sys.stderr.isatty():
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    else:
        handler.setFormatter(make_formatter(process))
    _install_handler(handler, level)


def configure_stdout_logging(level: str, process: str) -> None:
    """Log JSON lines to standard output, rate-limited and without blocking.

    :param level: a level name of the logging module, such as ``INFO``.
    :param process: the process name in each JSON line.
    """
    handler = RateLimitedHandler(sys.stdout.fileno())
    handler.setFormatter(make_formatter(process))
    _install_handler(handler, level)


def make_formatter(process: str) -> JsonFormatter:
    """Return the formatter of JSON lines.

    :param process: the process name in each line.
    """
    return _LineFormatter(JSON_FIELDS, static_fields={"process": process})


class _LineFormatter(JsonFormatter):
    """Formats values so that any JSON decoder reads them, and cuts long ones."""

    def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
        return {
            name: _make_value(
                value,
                MAX_TRACEBACK_LENGTH if name in TRACEBACK_FIELDS else MAX_FIELD_LENGTH,
            )
            for name, value in super().process_log_record(log_data).items()
        }


def escape_text(text: str) -> str:
    """Return a text in which bytes that are no UTF-8 are written like ``\\xff``.

    Other lone surrogates are written like ``\\ud800``.
    """
    try:
        data = text.encode("utf-8", "surrogateescape")
    except UnicodeEncodeError:
        data = text.encode("utf-8", "backslashreplace")
    return data.decode("utf-8", "backslashreplace")


def _make_value(value: Any, max_length: int, depth: int = 0) -> Any:
    """Return a value that JSON can hold and all decoders accept."""
    match value:
        case None | bool():
            return value
        case Enum():
            return _make_value(value.value, max_length, depth)
        case BaseException():
            return _cut_text(f"{type(value).__name__}: {value}", max_length)
        case int() if -(2**63) <= value < 2**63:
            return value
        case float() if math.isfinite(value):
            return value
        case dict() if depth < MAX_DEPTH:
            return {
                _cut_text(str(key), max_length): _make_value(
                    item, max_length, depth + 1
                )
                for key, item in value.items()
            }
        case list() | tuple() | set() if depth < MAX_DEPTH:
            return [_make_value(item, max_length, depth + 1) for item in value]
        case _:
            return _cut_text(str(value), max_length)


def _cut_text(text: str, max_length: int) -> str:
    if len(text) > max_length:
        text = f"{text[:max_length]}... ({len(text)} characters)"
    return escape_text(text)


def _install_handler(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


class RateLimitedHandler(logging.Handler):
    """Handler that writes to a file descriptor and drops lines over the rate limit.

    Lines are also dropped while the pipe is full because its reader has stalled. The
    next written line carries the number of dropped lines as ``n_lines_dropped``.

    :param descriptor: is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._n_tokens = N_BURST_LINES
        self._refilled_at = time.monotonic()
        self.n_dropped = 0
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or drop and count it."""
        if not self._take_token():
            self.n_dropped += 1
            return
        if self.n_dropped:
            record.n_lines_dropped = self.n_dropped
        try:
            line = self.format(record)
        except Exception:
            self.n_dropped += 1
            self.handleError(record)
            return
        try:
            self._write(f"{escape_text(line)}\n".encode())
        except BlockingIOError:
            self.n_dropped += 1
        except OSError:
            # The reader has closed the pipe, and no other output remains to report it.
            self.n_dropped += 1
        else:
            self.n_dropped = 0

    def _write(self, line: bytes) -> None:
        """Write a line; the rest of one that does not fit precedes the next one.

        :raises BlockingIOError: if there is no space for any of the line.
        """
        if self._rest:
            self._rest = self._rest[os.write(self._descriptor, self._rest) :]
        if self._rest:
            raise BlockingIOError
        self._rest = line[os.write(self._descriptor, line) :]

    def _take_token(self) -> bool:
        now = time.monotonic()
        self._n_tokens += (now - self._refilled_at) * N_LINES_PER_SECOND
        self._n_tokens = min(self._n_tokens, N_BURST_LINES)
        self._refilled_at = now
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True
