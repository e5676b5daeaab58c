"""The proxy program serves clients with stand-ins for the platform on loopback."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import msgspec
import pytest
import trio

from celeryfold.bench.ports import PortReservation
from celeryfold.exceptions import BadInput
from celeryfold.platform.lines import MAX_LINE_BYTES, LineStream, open_line_stream
from celeryfold.platform.settings import SETTINGS_VARIABLE, load_platform_settings
from celeryfold.platform.standins import PlatformStandin
from celeryfold.wire.client import HttpClient

START_TIMEOUT_S = 20.0
STEP_TIMEOUT_S = 10.0
DATABASES = {"p": "primary", "b": "bounded_staleness", "o": "read_your_writes"}


class Client:
    """A client of the session protocol."""

    def __init__(self, lines: LineStream) -> None:
        self.lines = lines
        self.n_queries = 0

    @classmethod
    async def open(cls, port: int, database: str, key: str = "someone") -> Client:
        client = cls(await open_line_stream("127.0.0.1", port))
        await client.lines.send([f"START {database} {key}"])
        assert await client.receive() == "READY I -"
        return client

    async def receive(self) -> str:
        with trio.fail_after(STEP_TIMEOUT_S):
            line = await self.lines.receive()
        assert line is not None
        return line.decode()

    async def ask(self, text: str) -> list[str]:
        """Send a query and return the response lines; the last one is READY."""
        self.n_queries += 1
        await self.lines.send([f"QUERY c{id(self)}n{self.n_queries} {text}"])
        return await self.receive_answer()

    async def receive_answer(self) -> list[str]:
        lines = [await self.receive()]
        while not lines[-1].startswith("READY"):
            lines.append(await self.receive())
        return lines


def write_settings(
    folder: Path, standin: PlatformStandin, ports: Sequence[int], **further: object
) -> Path:
    clients, probes, peers = (f"127.0.0.1:{port}" for port in ports[:3])
    settings = {
        "instance": "proxy-1",
        "data_centre": "here",
        "regions": {"here": "region"},
        "clients": clients,
        "probes": probes,
        "peers": peers,
        "metrics_port": ports[3],
        "seeds": [peers],
        "store": f"127.0.0.1:{standin.http.port}",
        "promotions": f"127.0.0.1:{standin.http.port}",
        "grace_s": 8,
        **further,
    }
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode(settings))
    return path


async def wait_ready(port: int) -> None:
    from celeryfold.wire.client import HttpClient, ResponseLost, Unreachable

    client = HttpClient(f"127.0.0.1:{port}")
    with trio.fail_after(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(Unreachable, ResponseLost):
                if (await client.request("GET", "/readiness")).status == 200:
                    return
            await trio.sleep(0.05)


def run_scenario(
    folder: Path,
    scenario: Callable[
        [PlatformStandin, Sequence[int], subprocess.Popen], Awaitable[None]
    ],
    **settings_fields: object,
) -> str:
    """Run a scenario against a process of the program; return its log output.

    :param settings_fields: further fields of the settings.
    """
    reservation = PortReservation(4)
    ports = reservation.ports
    output = folder / "output"

    async def run() -> None:
        standin = PlatformStandin("orders")
        async with trio.open_nursery() as nursery:
            await standin.start(nursery)
            standin.publish(7, DATABASES)
            settings = write_settings(folder, standin, ports, **settings_fields)
            command = [sys.executable, "-m", "celeryfold", "proxy"]
            environment = {**os.environ, SETTINGS_VARIABLE: str(settings)}
            with output.open("wb") as file:
                process = subprocess.Popen(command, stdout=file, env=environment)
                try:
                    await wait_ready(ports[1])
                    await scenario(standin, ports, process)
                finally:
                    process.kill()
                    process.wait()
            nursery.cancel_scope.cancel()

    try:
        trio.run(run)
    finally:
        reservation.close()
    return output.read_text()


def test_clients_are_served_and_a_stop_completes_open_transactions(tmp_path):
    async def scenario(standin, ports, process):
        client = await Client.open(ports[0], "o")
        written = await client.ask("WRITE k1 hello")
        assert written[0].startswith("COMPLETE orders-")
        read = await client.ask("READ k1")
        assert read[0] == "ROW hello"
        assert read[-1] == "READY I -"
        assert await client.ask("SET zone x") == ["COMPLETE -", "READY I -"]
        assert await client.ask("PREPARE s READ q1") == ["COMPLETE -", "READY I -"]
        assert (await client.ask("EXECUTE s k1"))[0] == "ROW hello"
        assert await client.ask("BEGIN") == ["COMPLETE -", "READY T -"]
        assert (await client.ask("WRITE k1 again"))[-1] == "READY T -"
        process.send_signal(signal.SIGTERM)
        with trio.fail_after(STEP_TIMEOUT_S):
            while "instance stopping" not in (tmp_path / "output").read_text():
                await trio.sleep(0.02)
        assert (await client.ask("COMMIT"))[-1] == "READY I -"
        with trio.fail_after(STEP_TIMEOUT_S):
            assert await client.lines.receive() is None
            assert await trio.to_thread.run_sync(process.wait) == 0
        assert len(standin.replicas.acknowledged) == 2

    logged = run_scenario(tmp_path, scenario)
    for text in ("instance started", "instance stopping", "instance stopped"):
        assert text in logged


def test_bad_input_gets_a_clear_error_and_leaves_other_clients_unaffected(tmp_path):
    async def scenario(standin, ports, process):
        client = await Client.open(ports[0], "p")
        for text in ("NONSENSE", "READ", "WRITE k", "SINCE 1.1 READ k", "EXECUTE s"):
            answer = await client.ask(text)
            assert answer[0].startswith("ERROR MALFORMED "), text
            assert answer[-1] == "READY I -"
        assert (await client.ask("EXECUTE never k"))[0].startswith("ERROR NOSTMT")
        assert (await client.ask("COMMIT"))[0].startswith("ERROR MALFORMED")
        await client.lines.send(["WHAT is this"])
        assert (await client.receive_answer())[0].startswith("ERROR MALFORMED")
        await client.lines.send(["QUERY a READ k\rQUERY b WRITE k smuggled"])
        assert (await client.receive_answer())[0].startswith("ERROR MALFORMED")
        await client.lines.send(["QUERY x1 WRITE k 1", "QUERY x2 READ k"])
        assert (await client.receive_answer())[0].startswith("COMPLETE")
        assert (await client.receive_answer())[0] == "ROW 1"
        unknown = await open_line_stream("127.0.0.1", ports[0])
        await unknown.send(["START nowhere someone"])
        with trio.fail_after(STEP_TIMEOUT_S):
            refused = await unknown.receive()
            assert refused is not None
            assert refused.startswith(b"ERROR NODB ")
            assert await unknown.receive() is None
        oversized = await Client.open(ports[0], "p")
        await oversized.lines.send(["QUERY y READ " + "k" * MAX_LINE_BYTES])
        assert (await oversized.receive_answer())[0].startswith("ERROR TOOBIG")
        disconnecting = await Client.open(ports[0], "p")
        await disconnecting.ask("BEGIN")
        await disconnecting.ask("WRITE k left")
        await disconnecting.lines.close()
        fragmented = await Client.open(ports[0], "p")
        for part in (b"QUERY z1 RE", b"AD k\r", b"\n"):
            await fragmented.lines._stream.send_all(part)
            await trio.sleep(0.02)
        assert (await fragmented.receive_answer())[0] == "ROW 1"

    run_scenario(tmp_path, scenario)


def test_metrics_are_served_and_settings_are_checked_on_reload(tmp_path):
    async def scenario(standin, ports, process):
        from celeryfold.wire.client import HttpClient

        client = await Client.open(ports[0], "p")
        await client.ask("WRITE k 1")
        page = await HttpClient(f"127.0.0.1:{ports[3]}").request("GET", "/metrics")
        assert b"celeryfold_statement_succeeded_total 1.0" in page.body
        assert b"celeryfold_statement_duration_seconds_bucket" in page.body
        (tmp_path / "settings.json").write_text('{"instance": 5}')
        process.send_signal(signal.SIGHUP)
        with trio.fail_after(STEP_TIMEOUT_S):
            while "settings not reloaded" not in (tmp_path / "output").read_text():
                await trio.sleep(0.02)
        assert (await client.ask("READ k"))[0] == "ROW 1"

    assert "settings not reloaded" in run_scenario(tmp_path, scenario)


def test_repeated_stop_signals_end_the_process_cleanly(tmp_path):
    """A repeated stop signal must not change the exit status.

    In soak seeds 114 and 126, a signal arrived while a stopped process was exiting.
    """

    async def scenario(standin, ports, process):
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            await trio.sleep(0.001)
        assert process.returncode == 0

    assert "instance stopped" in run_scenario(tmp_path, scenario)


def test_keys_are_checked_and_revoked_and_never_logged(tmp_path):
    """A revoked key must lose its sessions, and no log line may contain a key."""
    key, kept_key = "5ecret-one", "5ecret-two"

    async def refuse(port: int, start: str) -> bytes:
        lines = await open_line_stream("127.0.0.1", port)
        await lines.send([start, "QUERY q1 WRITE k smuggled"])
        with trio.fail_after(STEP_TIMEOUT_S):
            refused = await lines.receive()
            assert await lines.receive() is None
        assert refused is not None
        return refused

    async def scenario(standin, ports, process):
        standin.publish(8, DATABASES, {"shop": [key], "bank": [kept_key]})
        with trio.fail_after(STEP_TIMEOUT_S):
            while '"version": 8' not in (tmp_path / "output").read_text():
                await trio.sleep(0.02)
        for start in ("START p", "START p nobody"):
            assert (await refuse(ports[0], start)).startswith(b"ERROR AUTHFAIL ")
        assert (await refuse(ports[0], f"START {key}")).startswith(b"ERROR NODB ")
        idle = await Client.open(ports[0], "p", key)
        busy = await Client.open(ports[0], "p", key)
        kept = await Client.open(ports[0], "p", kept_key)
        assert (await busy.ask("BEGIN"))[-1] == "READY T -"
        assert (await busy.ask("WRITE k 1"))[-1] == "READY T -"
        malformed = {"version": 9, "tenants": [{"api_keys": [key, 5]}]}
        standin.store.write("op/config", msgspec.json.encode(malformed))
        await trio.sleep(1.5)
        standin.publish(10, DATABASES, {"shop": [], "bank": [kept_key]})
        with trio.fail_after(STEP_TIMEOUT_S):
            assert await idle.lines.receive() is None
        answer = await busy.ask("COMMIT")
        assert answer[0].startswith("ERROR AUTHFAIL ")
        assert answer[-1] == "READY I -"
        with trio.fail_after(STEP_TIMEOUT_S):
            assert await busy.lines.receive() is None
        assert (await kept.ask("READ k"))[0] == "ROW "
        assert not standin.replicas.acknowledged

    logged = run_scenario(tmp_path, scenario)
    for text in ("unknown key refused", "sessions ended by revocation"):
        assert text in logged
    assert "unreadable configuration" in logged
    assert "5ecret" not in logged


# Guards against a process without free descriptors, which can serve nobody.
def test_sessions_over_the_limit_are_refused_and_the_others_served(tmp_path):
    async def scenario(standin, ports, process):
        clients = [await Client.open(ports[0], "o") for _ in range(30)]
        probe = HttpClient(f"127.0.0.1:{ports[1]}")
        assert (await probe.request("GET", "/readiness")).status == 503
        for _ in range(3):
            lines = await open_line_stream("127.0.0.1", ports[0])
            await lines.send(["START o someone"])
            with trio.fail_after(STEP_TIMEOUT_S):
                line = await lines.receive()
                assert line is not None and line.startswith(b"ERROR BUSY ")
                assert await lines.receive() is None
            await lines.close()
        assert (await clients[0].ask("WRITE k1 hello"))[0].startswith("COMPLETE")
        await clients.pop().lines.close()
        await wait_ready(ports[1])
        await Client.open(ports[0], "o")

    run_scenario(tmp_path, scenario, max_descriptors=240)


def test_too_few_descriptors_are_a_clear_error(tmp_path):
    standin = PlatformStandin("orders")
    standin.http.port = 1
    path = write_settings(tmp_path, standin, [1, 2, 3, 4], max_descriptors=200)
    with pytest.raises(BadInput, match="max_descriptors: give at least 202"):
        load_platform_settings(path)
