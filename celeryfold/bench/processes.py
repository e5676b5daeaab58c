"""Small deployment of separate processes, with fault injection."""

from __future__ import annotations

__all__ = [
    "ProcessDeployment",
    "ProcessDeploymentSettings",
    "publish_until_stored",
    "run_process_deployment",
]

import json
import signal
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import trio
from returns.result import Success

from ..config.objects import Catalog, ObjectSet
from ..config.publishing import Unavailable, publish
from ..drivers.http_store import HttpStore
from ..drivers.listing import ListedInstance, Listing
from ..drivers.store import Store
from ..exceptions import BadInput
from ..groups.record import GroupRecord
from ..http_handlers import InstanceReport
from ..kernel.ids import GroupId
from ..standins.faults import FaultsBody
from ..wire.client import HttpClient, ResponseLost, Unreachable
from .deployments import ENTRIES, ENTRIES_SCHEMA
from .ports import PortReservation

T = TypeVar("T")

READY_TIMEOUT_S = 30.0
READY_CHECK_S = 0.1
PLACES = (("east-a", "east"), ("east-b", "east"))
SERVICE = ENTRIES.service


@dataclass(frozen=True)
class ProcessDeploymentSettings:
    """Number of processes of each kind, and the settings of the slots.

    :param n_slots: slots of each group.
    :param connection_limit: connections that a slot accepts.
    :param connect_cost_ms: milliseconds that a slot takes to open a connection.
    :param lag_ms: replication lag of the slots in milliseconds.
    """

    n_instances: int = 3
    n_groups: int = 1
    n_slots: int = 3
    connection_limit: int = 16
    connect_cost_ms: float = 12.0
    lag_ms: float = 2.0


class ProcessDeployment:
    """Processes of a deployment on the loopback address.

    :param folder: an empty folder for settings and logs.
    """

    def __init__(
        self, folder: Path, settings: ProcessDeploymentSettings | None = None
    ) -> None:
        self.folder = folder
        self.settings = settings or ProcessDeploymentSettings()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        n_slots = self.settings.n_groups * self.settings.n_slots
        self._reserved = PortReservation(2 + 3 * self.settings.n_instances + n_slots)
        self._ports = iter(self._reserved.ports)
        self.store_address = self._allocate_address()
        self.list_address = self._allocate_address()
        self.caller_addresses: dict[str, str] = {}
        self.operator_addresses: dict[str, str] = {}
        self.peer_addresses: dict[str, str] = {}
        self.slot_addresses: dict[str, str] = {}
        self.objects = ObjectSet()

    def _allocate_address(self) -> str:
        return f"127.0.0.1:{next(self._ports)}"

    async def start(self) -> None:
        """Start all processes, publish the objects and wait for all primaries.

        :raises BadInput: if a process does not start or a group has no primary in time.
        """
        self._start_platform()
        self._start_slots()
        await self._wait_until_listening([self.store_address, self.list_address])
        await self._wait_until_listening(list(self.slot_addresses.values()))
        for number in range(self.settings.n_instances):
            name = f"i{number + 1}"
            self.caller_addresses[name] = self._allocate_address()
            self.operator_addresses[name] = self._allocate_address()
            self.peer_addresses[name] = self._allocate_address()
        await self._publish_instance_list()
        for name in self.caller_addresses:
            self.start_instance(name)
        await publish_until_stored(HttpStore(self.store_address), self.objects)
        await self.wait_ready(list(self.caller_addresses))

    def _start_platform(self) -> None:
        self._launch(
            "store", "standin", "store", _make_listen_settings(self.store_address)
        )
        self._launch(
            "list", "standin", "list", _make_listen_settings(self.list_address)
        )

    def _start_slots(self) -> None:
        schema = ";\n".join(ENTRIES_SCHEMA)
        (self.folder / "schema.sql").write_text(schema)
        groups = []
        for group in range(self.settings.n_groups):
            slots = []
            for number in range(self.settings.n_slots):
                name = f"db{group + 1}-{'abcdefgh'[number]}"
                address = self.slot_addresses[name] = self._allocate_address()
                slots.append(
                    {
                        "name": name,
                        "place": PLACES[number % len(PLACES)][0],
                        "address": address,
                        "connection_limit": self.settings.connection_limit,
                    }
                )
                self._start_slot(name, address)
            groups.append({"name": f"db{group + 1}", "slots": slots})
        self.objects = _make_objects(groups)

    def _start_slot(self, name: str, address: str) -> None:
        settings = {
            "slot": name,
            "schema_file": "schema.sql",
            "connection_limit": self.settings.connection_limit,
            "connect_cost_ms": self.settings.connect_cost_ms,
            "lag_ms": self.settings.lag_ms,
        }
        self._launch(name, "standin", "slot", settings | _make_listen_settings(address))

    def start_instance(self, name: str) -> None:
        """Start an instance, or restart it under the same name."""
        (self.folder / "session.key").write_text("bench")
        number = int(name[1:]) - 1
        settings = {
            "instance": name,
            "place": PLACES[number % len(PLACES)][0],
            "caller": _make_address_settings(self.caller_addresses[name]),
            "peer": _make_address_settings(self.peer_addresses[name]),
            "operator": _make_address_settings(self.operator_addresses[name]),
            "store": _make_address_settings(self.store_address),
            "instance_list": _make_address_settings(self.list_address),
            "session_key_file": "session.key",
        }
        self._launch(name, "instance", "", settings)

    def _launch(
        self, name: str, command: str, kind: str, settings: dict[str, Any]
    ) -> None:
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(settings))
        arguments = [sys.executable, "-m", "celeryfold", command]
        arguments += [kind] if kind else []
        with (self.folder / f"{name}.log").open("ab") as log_file:
            self.processes[name] = subprocess.Popen(
                [*arguments, "--settings", str(file)], stderr=log_file, stdout=log_file
            )

    async def _publish_instance_list(self) -> None:
        listed = [
            ListedInstance(name, self.peer_addresses[name], PLACES[n % len(PLACES)][0])  # type: ignore[arg-type]
            for n, name in enumerate(self.caller_addresses)
        ]
        body = msgspec.json.encode(Listing(tuple(listed)))
        await _post(self.list_address, "/list", body)

    async def _wait_until_listening(self, addresses: list[str]) -> None:
        with trio.move_on_after(READY_TIMEOUT_S) as scope:
            for address in addresses:
                while not await _accepts_connections(address):
                    await trio.sleep(READY_CHECK_S)
        if scope.cancelled_caught:
            raise BadInput(
                f"{self.folder}: a stand-in does not accept connections; see its log"
                f"{self._describe_exits()}"
            )

    def _describe_exits(self) -> str:
        """Return which processes exited, each with the last line of its log."""
        texts = []
        for name, process in self.processes.items():
            if process.poll() is not None:
                log = (self.folder / f"{name}.log").read_text(errors="replace")
                last = log.splitlines()[-1] if log else "empty log"
                texts.append(f"; {name} exited, status {process.returncode}: {last}")
        return "".join(texts)

    async def wait_ready(self, names: list[str]) -> None:
        """Wait until instances know a started primary of each group.

        :raises BadInput: if they do not within ``READY_TIMEOUT_S``, or one has exited.
        """
        with trio.move_on_after(READY_TIMEOUT_S) as scope:
            for name in names:
                while not await self._is_ready(name):
                    if any(self.processes[n].poll() is not None for n in names):
                        scope.cancel()
                    await trio.sleep(READY_CHECK_S)
        if scope.cancelled_caught:
            raise BadInput(
                f"{self.folder}: a group has no started primary; see the logs"
                f"{self._describe_exits()}"
            )

    async def _is_ready(self, name: str) -> bool:
        report = await self.fetch_report(name)
        if report is None or not await _accepts_connections(
            self.caller_addresses[name]
        ):
            return False
        started = [known for known in report.records if known.record.started]
        return len(started) == self.settings.n_groups

    async def fetch_report(self, name: str) -> InstanceReport | None:
        """Return the status of an instance, or None if it does not answer in 1 s."""
        client = HttpClient(self.operator_addresses[name])
        try:
            with trio.fail_after(1.0):
                response = await client.request("GET", "/v1/status")
            return msgspec.json.decode(response.body, type=InstanceReport)
        except (Unreachable, ResponseLost, trio.TooSlowError):
            return None
        finally:
            await client.close()

    async def find_record(self, group: GroupId) -> GroupRecord:
        """Return the newest record of a group that any instance has cached."""
        latest: tuple[int, GroupRecord] | None = None
        for name in self.caller_addresses:
            report = await self.fetch_report(name)
            for known in report.records if report else ():
                if known.group == group and (
                    latest is None or known.revision > latest[0]
                ):
                    latest = (known.revision, known.record)
        assert latest is not None
        return latest[1]

    async def set_faults(self, name: str, faults: FaultsBody) -> None:
        """Set the faults of a slot, of the store or of the instance list."""
        addresses = self.slot_addresses | {
            "store": self.store_address,
            "list": self.list_address,
        }
        await _post(addresses[name], "/faults", msgspec.json.encode(faults))

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self.processes[name].send_signal(number)

    def read_rss_mb(self, name: str) -> float:
        """Return the resident memory of a process in megabytes."""
        pid = self.processes[name].pid
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0

    def read_cpu_s(self, name: str) -> float:
        """Return the CPU seconds that a process has used."""
        pid = self.processes[name].pid
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / 100.0

    @property
    def catalog(self) -> Catalog:
        """Lookups over the published objects."""
        return Catalog(self.objects)

    def close(self) -> None:
        """Kill all processes, wait for their end and free the ports."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._reserved.close()


async def publish_until_stored(store: Store, objects: ObjectSet) -> None:
    """Publish objects, again after each attempt that the store does not answer in time.

    The processes of a deployment start at the same time and share the processors, so
    the store may take longer than one call waits.

    :raises BadInput: if the store refuses them, or does not answer within
        ``READY_TIMEOUT_S``.
    """
    deadline = trio.current_time() + READY_TIMEOUT_S
    while True:
        published = await publish(store, objects)
        if isinstance(published, Success):
            return
        is_final = not isinstance(published.failure(), Unavailable)
        if is_final or trio.current_time() > deadline:
            raise BadInput(f"the objects could not be published: {published}")
        await trio.sleep(READY_CHECK_S)


def run_process_deployment(
    settings: ProcessDeploymentSettings,
    measure: Callable[[ProcessDeployment], Awaitable[T]],
) -> T:
    """Run a function on a new deployment and close the deployment afterwards.

    :returns: the result of the function.
    """
    with tempfile.TemporaryDirectory() as folder:
        deployment = ProcessDeployment(Path(folder), settings)
        try:
            return trio.run(measure, deployment)
        finally:
            deployment.close()


def _make_address_settings(address: str) -> dict[str, Any]:
    host, _, port = address.partition(":")
    return {"host": host, "port": int(port)}


def _make_listen_settings(address: str) -> dict[str, Any]:
    return {"listen": _make_address_settings(address)}


def _make_objects(groups: list[dict[str, Any]]) -> ObjectSet:
    return ObjectSet.model_validate(
        {
            "places": [{"name": name, "region": region} for name, region in PLACES],
            "read_rules": [{"name": "recent", "accepted_age_ms": 5000}],
            "upstream_groups": groups,
            "services": [
                {
                    "name": SERVICE,
                    "upstream_groups": [group["name"] for group in groups],
                    "read_rule": "recent",
                }
            ],
        }
    )


async def _accepts_connections(address: str) -> bool:
    host, _, port = address.partition(":")
    try:
        stream = await trio.open_tcp_stream(host, int(port))
    except OSError:
        return False
    await stream.aclose()
    return True


async def _post(address: str, path: str, body: bytes) -> None:
    client = HttpClient(address)
    try:
        await client.request("POST", path, body)
    finally:
        await client.close()
