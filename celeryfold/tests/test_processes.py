"""Requests through instances that run as separate processes.

Checks that a session makes a write visible through another instance, and that an
instance which gets SIGTERM answers the requests in progress before it exits.
"""

from __future__ import annotations

import signal
import socket
from pathlib import Path

import msgspec
import pytest
import trio

from celeryfold.bench.callers import HttpEndpoint
from celeryfold.bench.deployments import ENTRIES
from celeryfold.bench.processes import SERVICE, ProcessDeployment
from celeryfold.entry.requests import Mode, StatementRequest, StatementResponse
from celeryfold.exceptions import BadInput


@pytest.fixture
def deployment(tmp_path: Path):
    """Provide a deployment that is closed after the test."""
    deployment = ProcessDeployment(tmp_path)
    yield deployment
    deployment.close()


def make_write(marker: str, owner: str = "permit-1") -> StatementRequest:
    """Return a write that adds a marked row under an idempotency key."""
    return StatementRequest(
        ENTRIES.insert,
        (marker, owner, "2026-12-04"),
        key=owner,
        mode=Mode.WRITE,
        idempotency_key=f"key-{marker}",
    )


def make_read(session: str = "", owner: str = "permit-1") -> StatementRequest:
    """Return a read of an owner's rows."""
    return StatementRequest(ENTRIES.lookup, (owner,), key=owner, session=session)


def test_renewal_through_one_instance_is_read_through_another(deployment):
    async def run() -> None:
        await deployment.start()
        first, second = (
            HttpEndpoint(deployment.caller_addresses[name]) for name in ("i1", "i2")
        )
        written = await first.send(SERVICE, make_write("m1"))
        assert isinstance(written, StatementResponse), written
        read = await second.send(SERVICE, make_read(written.session))
        assert isinstance(read, StatementResponse), read
        assert read.rows == (("m1",),)

    trio.run(run)


def test_deployment_starts_although_the_store_pauses(deployment):
    """All processes start at the same time, and the store may not run for a while."""

    async def pause_store() -> None:
        while "i3" not in deployment.processes:
            await trio.sleep(0)
        deployment.signal("store", signal.SIGSTOP)
        await trio.sleep(1.5)
        deployment.signal("store", signal.SIGCONT)

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pause_store)
            await deployment.start()

    trio.run(run)


def test_graceful_shutdown_cuts_no_request_in_progress(deployment):
    answers: list[object] = []

    async def write_repeatedly(
        endpoint: HttpEndpoint, number: int, stopped: trio.Event
    ) -> None:
        n_written = 0
        while not stopped.is_set():
            n_written += 1
            marker = f"m{number}-{n_written}"
            answers.append(await endpoint.send(SERVICE, make_write(marker)))

    async def run() -> None:
        await deployment.start()
        stopped = trio.Event()
        async with trio.open_nursery() as nursery:
            for number in range(8):
                endpoint = HttpEndpoint(deployment.caller_addresses["i1"])
                nursery.start_soon(write_repeatedly, endpoint, number, stopped)
            while len(answers) < 50:
                await trio.sleep(0.01)
            deployment.signal("i1", signal.SIGTERM)
            await trio.to_thread.run_sync(deployment.processes["i1"].wait)
            stopped.set()

    trio.run(run)
    assert deployment.processes["i1"].returncode == 0
    cut = [answer for answer in answers if answer is None]
    assert cut == []
    served = [item for item in answers if isinstance(item, StatementResponse)]
    assert len(served) >= 50
    assert msgspec.json.encode(served[0])


def test_a_deployment_names_a_process_that_did_not_start(deployment, monkeypatch):
    """A port that was taken was reported as a group without a started primary."""
    start_instance = deployment.start_instance

    async def run() -> None:
        with socket.socket() as taken:
            taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)

            def start_without_port(name: str) -> None:
                if name == "i2":
                    host, _, port = deployment.caller_addresses[name].partition(":")
                    taken.bind((host, int(port)))
                    taken.listen()
                start_instance(name)

            monkeypatch.setattr(deployment, "start_instance", start_without_port)
            with pytest.raises(BadInput, match="i2 exited, status 2: .*already in use"):
                await deployment.start()

    trio.run(run)
