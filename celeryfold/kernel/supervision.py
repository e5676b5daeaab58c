"""Keeps a process running after an unexpected error in one of its components."""

from __future__ import annotations

__all__ = ["supervise"]

import logging
from collections.abc import Awaitable, Callable

import trio

from .metrics import Metrics

log = logging.getLogger(__name__)

# Pause before a failed component runs again, so that an error that persists does not
# take up the processor.
RESTART_PAUSE_S = 0.5


async def supervise(
    component: str, run: Callable[[], Awaitable[None]], metrics: Metrics
) -> None:
    """Run a component until it returns, again after each unexpected error.

    :param component: name of the component in the log.
    :param run: the component; it can be called again after it has raised an error.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            log.exception("component failed", extra={"component": component})
            metrics.count("component.failed")
        await trio.sleep(RESTART_PAUSE_S)
