"""Set up logging: JSON lines for machines, plain text on a terminal."""

from __future__ import annotations

__all__ = ["start_logging"]

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
JSON_FIELDS = ["asctime", "levelname", "name", "message"]


def start_logging(level: str, process: str) -> None:
    """Send log lines to standard error in the form that suits it.

    :param level: a level name of the logging module, such as ``INFO``.
    :param process: the name put into each JSON line.
    """
    handler = logging.StreamHandler(sys.stderr)
    if sys.stderr.isatty():
        handler.setFormatter(logging.Formatter(TEXT_FORMAT))
    else:
        fields = JsonFormatter(JSON_FIELDS, static_fields={"process": process})
        handler.setFormatter(fields)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
