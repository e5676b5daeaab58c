"""A small deployment: proxy processes, started as the deploy file says."""

from __future__ import annotations

import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
import trio

from celeryfold.platform.lines import LineStream, open_line_stream
from celeryfold.wire.client import HttpClient, ResponseLost, Unreachable

from .databases import Platform

ROOT = Path(__file__).resolve().parents[2]
# Exit statuses of a script; run_case turns them into those of run.sh.
HELD, BROKEN, NOT_RUN = 0, 10, 20
SERVICE = "permit-db"
DATABASES = {
    "issue": "primary",
    "check": "bounded_staleness",
    "quota": "read_your_writes",
}
# The bounds of sites/sahil-permits.toml.
GRACE_S = 6.0
RECOVER_S = 12.0
RESTART_S = 0.5
START_TIMEOUT_S = 20.0
FIRST_PORT, LAST_PORT = 12_000, 30_000


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = 0.0

    def start(self) -> None:
        self._started_at = trio.current_time()

    def __call__(self, text: str) -> None:
        self._file.write(f"{trio.current_time() - self._started_at:8.3f}  {text}\n")

    def close(self) -> None:
        self._file.close()


def find_free_ports(n_ports: int) -> list[int]:
    """Return free ports below the range for outgoing connections."""
    found: list[int] = []
    for port in random.sample(range(FIRST_PORT, LAST_PORT), LAST_PORT - FIRST_PORT):
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
        if len(found) == n_ports:
            break
    return found


class Instance:
    """One proxy process, restarted after each end like on the platform."""

    def __init__(self, name: str, place: str, ports: list[int]) -> None:
        self.name = name
        self.place = place
        self.ports = ports
        self.process: subprocess.Popen[bytes] | None = None
        self.expects_end = False
        # Exit statuses of processes that were not told to end.
        self.own_ends: list[int] = []
        self.restart_s = RESTART_S

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


class Deployment:
    """Proxy processes with the stand-ins of the platform in this process."""

    def __init__(self, folder: Path, record: Record, places: list[str]) -> None:
        self.folder = folder
        self.record = record
        self.platform = Platform(SERVICE, record)
        self.instances: list[Instance] = []
        ports = find_free_ports(4 * len(places))
        for number, place in enumerate(places):
            own = ports[4 * number : 4 * number + 4]
            self.instances.append(Instance(f"front-{place}-{number}", place, own))
        self._is_closing = False

    async def start(self, nursery: trio.Nursery) -> None:
        await self.platform.start(nursery)
        self.platform.publish(7, DATABASES)
        for instance in self.instances:
            self._write_settings(instance)
            nursery.start_soon(self._run, instance)
        with trio.fail_after(START_TIMEOUT_S):
            for instance in self.instances:
                await wait_ready(instance)
        self.record("all instances are ready")

    def _write_settings(self, instance: Instance) -> None:
        clients, probes, peers = (f"127.0.0.1:{port}" for port in instance.ports[:3])
        platform = f"127.0.0.1:{self.platform.http.port}"
        settings = {
            "instance": instance.name,
            "data_centre": instance.place,
            "regions": {"muscat-a": "muscat", "muscat-b": "muscat", "here": "muscat"},
            "clients": clients,
            "probes": probes,
            "peers": peers,
            "metrics_port": instance.ports[3],
            "seeds": [f"127.0.0.1:{i.ports[2]}" for i in self.instances[:3]],
            "store": platform,
            "promotions": platform,
            "grace_s": GRACE_S,
        }
        path = self.folder / f"{instance.name}.json"
        path.write_bytes(msgspec.json.encode(settings))

    async def _run(self, instance: Instance) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "proxy"
        ]
        command = shlex.split(role["run"])
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CELERYFOLD_BOOT": str(self.folder / f"{instance.name}.json"),
        }
        log = self.folder / f"{instance.name}.log"
        while not self._is_closing:
            instance.expects_end = False
            with log.open("ab") as output:
                process = subprocess.Popen(
                    command, stdout=output, stderr=output, env=environment, cwd=ROOT
                )
            instance.process = process
            while process.poll() is None:
                await trio.sleep(0.02)
            if self._is_closing:
                return
            self.record(f"{instance.name}: process ended, status {process.returncode}")
            if not instance.expects_end:
                instance.own_ends.append(process.returncode)
            await trio.sleep(instance.restart_s)

    def kill(self, instance: Instance) -> None:
        instance.expects_end = True
        self.record(f"{instance.name}: SIGKILL")
        instance.signal(signal.SIGKILL)

    def terminate(self, instance: Instance) -> None:
        instance.expects_end = True
        self.record(f"{instance.name}: SIGTERM")
        instance.signal(signal.SIGTERM)

    def close(self) -> None:
        self._is_closing = True
        for instance in self.instances:
            instance.signal(signal.SIGKILL)
            if instance.process is not None:
                instance.process.wait()

    def record_logs(self, *texts: str, most: int = 20) -> None:
        """Copy the first log lines that contain one of the texts to the record.

        :param most: how many lines of each instance.
        """
        for instance in self.instances:
            log = self.folder / f"{instance.name}.log"
            lines = log.read_text(errors="replace").splitlines()
            found = [line for line in lines if any(text in line for text in texts)]
            for line in found[:most]:
                self.record(f"log {instance.name}: {line[:400]}")
            if len(found) > most:
                self.record(f"log {instance.name}: {len(found) - most} further lines")


async def wait_ready(instance: Instance) -> None:
    client = HttpClient(f"127.0.0.1:{instance.ports[1]}")
    while True:
        try:
            if (await client.request("GET", "/readiness")).status == 200:
                return
        except (Unreachable, ResponseLost):
            pass
        await trio.sleep(0.05)


class Refused(Exception):
    """The answer to a statement was an error."""


class Session:
    """A client session; text is sent and received as the bytes it stands for."""

    n_queries = 0

    def __init__(self, lines: LineStream, name: str, record: Record) -> None:
        self.lines = lines
        self.name = name
        self.record = record

    @classmethod
    async def open(
        cls, instance: Instance, database: str, name: str, record: Record
    ) -> Session:
        """Open a session.

        :raises OSError: if the instance cannot be reached.
        :raises Refused: if it refuses the session.
        """
        lines = await open_line_stream("127.0.0.1", instance.ports[0])
        await lines.send([f"START {database} tenant"])
        line = await lines.receive()
        if line is None or not line.startswith(b"READY"):
            await lines.close()
            raise Refused(repr(line))
        return cls(lines, f"{name} at {instance.name}", record)

    async def ask(self, text: str) -> tuple[str, list[str]]:
        """Send a query and return its id and the lines of the answer.

        :raises Refused: if the answer is an error.
        :raises OSError: if the connection ends without a whole answer.
        """
        Session.n_queries += 1
        request_id = f"q{Session.n_queries:06d}"
        self.record(f"{self.name}: sent {request_id} {text!a}")
        await self.lines.send([f"QUERY {request_id} {text}"])
        answer: list[str] = []
        while not answer or not answer[-1].startswith("READY"):
            line = await self.lines.receive()
            if line is None:
                self.record(f"{self.name}: {request_id} connection ended, no answer")
                raise OSError("the connection ended")
            answer.append(line.decode("utf-8", "surrogateescape"))
        self.record(f"{self.name}: answer {request_id} {answer[:-1]!a}")
        if answer[0].startswith("ERROR"):
            raise Refused(answer[0])
        return request_id, answer

    async def close(self) -> None:
        await self.lines.close()


async def write(
    deployment: Deployment, number: int, interval_s: float, acked: dict[str, float]
) -> None:
    """Write again and again; open a new session after each failure.

    :param interval_s: mean pause between two writes.
    :param acked: receives when each acknowledged write was answered.
    """
    rng = random.Random(number)
    await trio.sleep(rng.uniform(0.0, interval_s))
    instance = deployment.instances[number % len(deployment.instances)]
    name = f"client {number}"
    n_written = 0
    while True:
        try:
            session = await Session.open(instance, "issue", name, deployment.record)
        except (OSError, Refused):
            await trio.sleep(0.2)
            continue
        try:
            while True:
                n_written += 1
                request_id, _ = await session.ask(f"WRITE c{number} v{n_written}")
                acked[request_id] = trio.current_time()
                await trio.sleep(rng.uniform(0.5, 1.5) * interval_s)
        except (OSError, Refused, trio.BrokenResourceError):
            await session.close()
            await trio.sleep(0.05)


def check_lost(deployment: Deployment, acked: dict[str, float]) -> int:
    """Look for writes that clients saw acknowledged and that a promotion dropped."""
    result = HELD
    record = deployment.record
    deployment.record_logs('"promotion ', '"primary ', '"duty taken"')
    for promotion in deployment.platform.replicas.completed:
        for entry in promotion.lost:
            for item, value, request_id in entry.writes:
                if acked.get(request_id, float("inf")) < promotion.at:
                    result = BROKEN
                    record(
                        f"LOST: {request_id} ({item} {value}) was acknowledged at "
                        f"{entry.position} and is not in the log of "
                        f"{promotion.upstream}, which was promoted after that"
                    )
    record("rule LOST " + ("broken" if result == BROKEN else "held"))
    return result


Scenario = Callable[[Deployment, trio.Nursery, bool], Awaitable[int]]


def run(folder: Path, places: list[str], scenario: Scenario) -> None:
    """Run a scenario against a deployment and exit with its result."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    result = NOT_RUN

    async def main() -> None:
        nonlocal result
        record.start()
        record(f"disruption: {'yes' if has_trouble else 'no'}")
        with TemporaryDirectory() as temporary:
            deployment = Deployment(Path(temporary), record, places)
            async with trio.open_nursery() as nursery:
                try:
                    await deployment.start(nursery)
                    result = await scenario(deployment, nursery, has_trouble)
                finally:
                    deployment.close()
                    nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    except BaseException as error:
        result = NOT_RUN
        print(f"the case could not run: {error!r}", file=sys.stderr)
        raise SystemExit(NOT_RUN) from error
    finally:
        record.close()
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[result])
    raise SystemExit(result)
