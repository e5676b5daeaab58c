"""HTTP handlers of an instance: one for clients, one for operators."""

from __future__ import annotations

__all__ = ["CallerHandler", "InstanceReport", "OperatorHandler"]

from urllib.parse import parse_qs, unquote

import msgspec

from .entry.requests import (
    BeginRequest,
    CancelRequest,
    FinishRequest,
    StatementRequest,
    decode_body,
)
from .exceptions import RequestFailure
from .fleet.members import Member
from .groups.record_cache import KnownRecord
from .instance import Instance
from .kernel.errors import ErrorKind
from .kernel.events import Event
from .kernel.ids import ServiceId, SlotId
from .wire.messages import HttpRequest, HttpResponse
from .wire.server import ConnectionHandler


class CallerHandler(ConnectionHandler):
    """Handles the HTTP requests of one client connection.

    Paths: ``/v1/services/NAME/statements``, ``.../transactions``, ``.../outcomes``,
    ``/v1/transactions/NAME/statements``, ``.../commit``, ``.../rollback`` and
    ``/v1/health``.
    """

    def __init__(self, instance: Instance) -> None:
        self._entry = instance.entry

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request.

        :raises RequestFailure: if the path does not exist or the request fails.
        """
        if request.path == "/v1/health":
            return HttpResponse(200)
        parts = request.path.strip("/").split("/")
        if len(parts) != 4 or parts[0] != "v1":
            raise _make_not_found(request)
        if request.method != "POST":
            text = f"use POST for {request.path}"
            raise RequestFailure(ErrorKind.BAD_REQUEST, text)
        _, section, name, action = parts
        if section == "services":
            answer = await self._serve_service(ServiceId(name), action, request)
        elif section == "transactions":
            answer = await self._serve_transaction(unquote(name), action, request)
        else:
            raise _make_not_found(request)
        return HttpResponse.from_object(answer)

    async def _serve_service(
        self, service: ServiceId, action: str, request: HttpRequest
    ) -> msgspec.Struct:
        if action == "statements":
            statement = decode_body(request.body, StatementRequest)
            return await self._entry.run_statement(service, statement)
        if action == "transactions":
            return await self._entry.begin(
                service, decode_body(request.body, BeginRequest)
            )
        if action == "outcomes":
            return await self._entry.cancel(
                service, decode_body(request.body, CancelRequest)
            )
        raise _make_not_found(request)

    async def _serve_transaction(
        self, name: str, action: str, request: HttpRequest
    ) -> msgspec.Struct:
        if action == "statements":
            statement = decode_body(request.body, StatementRequest)
            return await self._entry.run_in_transaction(name, statement)
        if action in ("commit", "rollback"):
            finish = decode_body(request.body, FinishRequest)
            return await self._entry.finish(name, finish, action == "commit")
        raise _make_not_found(request)


class InstanceReport(msgspec.Struct):
    """The state of an instance, as operators see it."""

    instance: str
    generation: int
    members: list[Member]
    records: list[KnownRecord]
    leaving_slots: list[SlotId]
    counters: dict[str, int]


class OperatorHandler(ConnectionHandler):
    """Handles the HTTP requests of one operator connection.

    Paths: ``/v1/status``, ``/v1/timeline``, ``/v1/slots/NAME/leave`` and
    ``.../return``.
    """

    def __init__(self, instance: Instance) -> None:
        self._instance = instance

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request.

        :raises RequestFailure: if the path or the slot does not exist.
        """
        if request.path == "/v1/status":
            return HttpResponse.from_object(self._report())
        if request.path == "/v1/timeline":
            return HttpResponse.from_object(self._list_events(request.query))
        parts = request.path.strip("/").split("/")
        if len(parts) == 4 and parts[1] == "slots" and parts[3] in ("leave", "return"):
            await self._instance.set_slot_leaving(SlotId(parts[2]), parts[3] == "leave")
            return HttpResponse(200)
        raise _make_not_found(request)

    def _report(self) -> InstanceReport:
        instance = self._instance
        return InstanceReport(
            instance.instance_id,
            instance.configuration.generation,
            list(instance.membership.members.values()),
            instance.record_cache.all(),
            sorted(instance.find_leaving()),
            dict(instance.metrics.counters),
        )

    def _list_events(self, query: str) -> list[Event]:
        fields = parse_qs(query)
        subject = fields.get("subject", [""])[0]
        request_id = fields.get("request_id", [""])[0]
        return self._instance.timeline.read(subject, request_id)


def _make_not_found(request: HttpRequest) -> RequestFailure:
    text = f"{request.method} {request.path}: no such path; see the user guide"
    return RequestFailure(ErrorKind.NOT_FOUND, text)
