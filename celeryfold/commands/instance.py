"""The command ``instance``: run an instance as a process."""

from __future__ import annotations

__all__ = ["run"]

from pathlib import Path

import trio

from ..config.settings import InstanceSettings, load_settings
from ..daemon import run_instance
from ..kernel.logs import configure_logging


def run(file: Path) -> None:
    """Run an instance until SIGTERM or SIGINT.

    :raises BadInput: if the settings are invalid.
    """
    settings = load_settings(file, InstanceSettings)
    configure_logging(settings.log_level, settings.instance)
    trio.run(run_instance, settings)
