"""The readiness probe and the page of metrics."""

from __future__ import annotations

__all__ = ["MonitoringHandler"]

from collections.abc import Callable

from ..kernel.metrics import Metrics
from ..wire.messages import HttpRequest, HttpResponse
from ..wire.server import ConnectionHandler

READY = 200
NOT_READY = 503
NOT_FOUND = 404


class MonitoringHandler(ConnectionHandler):
    """Answer the platform's probe and whoever reads metrics.

    :param is_ready: tells whether new clients would be served here.
    """

    def __init__(self, is_ready: Callable[[], bool], metrics: Metrics) -> None:
        self._is_ready = is_ready
        self._metrics = metrics

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to one request."""
        if request.path == "/readiness":
            return HttpResponse(READY if self._is_ready() else NOT_READY)
        if request.path == "/metrics":
            return HttpResponse(
                READY, self._metrics.render(), content_type="text/plain"
            )
        return HttpResponse(NOT_FOUND)
