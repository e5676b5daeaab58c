"""Which homes do not reply; known once for all upstreams of an instance."""

from __future__ import annotations

__all__ = [
    "HOME_HEALTH_CODEC_TYPES",
    "HomeHealth",
    "Ping",
    "Pong",
    "register_ping_handler",
]

import logging
from collections.abc import Callable

import msgspec
import trio

from ..exceptions import CeleryfoldError
from ..kernel.ids import InstanceId
from ..kernel.metrics import Metrics
from ..links import PeerLink

log = logging.getLogger(__name__)

# Several times the round trip between regions, 60 ms.
PING_TIMEOUT_S = 0.25
PING_INTERVAL_S = 0.5
# By then the list of members names the instance as lost.
MAX_SUSPICION_S = 10.0


class Ping(msgspec.Struct, frozen=True, array_like=True, tag="ping"):
    """Asks an instance whether it replies."""


class Pong(msgspec.Struct, frozen=True, array_like=True, tag="pong"):
    """Reply to a ping."""


HOME_HEALTH_CODEC_TYPES = Ping | Pong


class HomeHealth:
    """Suspects homes that did not reply, and pings them until they do.

    Without it, each upstream of each instance sacrifices a statement to each lost home,
    and again whenever the avoidance of the home ends, until the members are updated.

    :param spawn: starts a background task.
    :param clock: returns the time in seconds.
    """

    def __init__(
        self,
        link: PeerLink,
        spawn: Callable[..., object],
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._link = link
        self._spawn = spawn
        self._clock = clock
        self._metrics = metrics
        self._suspected: set[InstanceId] = set()

    def is_suspected(self, instance: InstanceId) -> bool:
        """Return whether an instance did not reply and has not replied since."""
        return instance in self._suspected

    def record_silence(self, instance: InstanceId, address: str) -> None:
        """Suspect an instance that did not reply to a request in time."""
        if instance in self._suspected:
            return
        self._suspected.add(instance)
        self._metrics.count("home.suspected")
        log.info("home suspected", extra={"peer": instance})
        self._spawn(self._ping_until_reply, instance, address)

    def record_reply(self, instance: InstanceId) -> None:
        """Trust an instance again."""
        if instance in self._suspected:
            self._suspected.discard(instance)
            log.info("home replies again", extra={"peer": instance})

    async def _ping_until_reply(self, instance: InstanceId, address: str) -> None:
        give_up_at = self._clock() + MAX_SUSPICION_S
        while self.is_suspected(instance) and self._clock() < give_up_at:
            if await self._ping(address):
                self.record_reply(instance)
                return
            await trio.sleep(PING_INTERVAL_S)
        self._suspected.discard(instance)

    async def _ping(self, address: str) -> bool:
        try:
            await self._link.request(address, Ping(), PING_TIMEOUT_S)
        except CeleryfoldError:
            self._metrics.count("home.ping_unanswered")
            return False
        return True


async def answer_ping(message: Ping) -> Pong:
    """Reply to a ping."""
    return Pong()


def register_ping_handler(link: PeerLink) -> None:
    """Reply to the pings of other instances."""
    link.register_handler(Ping, answer_ping)
