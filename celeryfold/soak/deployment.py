"""A deployment of proxy processes with stand-ins on the loopback interface."""

from __future__ import annotations

__all__ = ["SoakDeployment"]

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec
import trio

from ..bench.ports import PortReservation
from ..exceptions import Unreadable
from ..kernel.decoding import decode_json
from ..kernel.ids import UpstreamId
from ..platform.settings import SETTINGS_VARIABLE
from ..platform.standins import PlatformStandin
from ..proxy.routes import Consistency
from ..proxy.upstream import UpstreamRole
from ..standins.database import Database
from .accounts import AccountBook
from .forwarder import Forwarder

SERVICE = "orders"
DATABASE_KINDS = {
    Consistency.PRIMARY.value: "primary",
    Consistency.BOUNDED.value: "bounded_staleness",
    Consistency.OWN_WRITES.value: "read_your_writes",
}
PLACES = ("here", "there")
GRACE_S = 4.0
RESTART_S = 0.3
EXIT_POLL_S = 0.05
REFUSAL_POLL_S = 0.02
N_PORTS = 4
N_DATABASES = 3
# Time for instances to learn of a lost log and to find its commits elsewhere.
LOSS_INTERVAL_S = 8.0
# A client that does not read its answer ends its session.
EXPECTED_ERRORS = ("trio.TooSlowError",)


def _read_error(line: str) -> tuple[str, str]:
    """Return the message of a log line and the last line of its traceback."""
    try:
        fields = decode_json(line, dict[str, Any])
    except Unreadable as error:
        return "unreadable log line", str(error)
    return str(fields["message"]), str(fields["exc_info"]).rpartition("\n")[2]


class _Instance:
    """A proxy process with its ports.

    The forwarders `clients` and `store` lead to its client port and to the store.
    """

    def __init__(self, number: int, ports: tuple[int, ...], store_port: int) -> None:
        self.name = f"proxy-{number}"
        self.place = PLACES[number % len(PLACES)]
        self.ports = ports
        self.clients = Forwarder(ports[0])
        self.store = Forwarder(store_port)
        self.process: subprocess.Popen[bytes] | None = None
        self.is_paused = False


class SoakDeployment:
    """Proxy processes that can be paused, stopped and killed, with their stand-ins.

    The stand-ins run in this process.

    :param folder: an empty folder for settings and logs.
    :param accounts: the client accounts of the configuration.
    """

    def __init__(self, folder: Path, n_instances: int, accounts: AccountBook) -> None:
        self.folder = folder
        self.accounts = accounts
        self.standin = PlatformStandin(SERVICE, N_DATABASES)
        self.databases: dict[UpstreamId, Forwarder] = {}
        self.instances: list[_Instance] = []
        self.unexpected_exits: list[str] = []
        # Databases that are not started again.
        self.lost_databases: set[UpstreamId] = set()
        # The injected faults with their times since the first, in seconds.
        self.injected: list[str] = []
        self.faults_begun_at = 0.0
        # The faults in progress that change who receives.
        self.n_membership_faults = 0
        # When logs of databases were lost that did not leave a copy.
        self._losses_at: list[float] = []
        # Processes and databases that are stopped keep their ports.
        self._reservations: list[PortReservation] = []
        self._n_ids = N_DATABASES
        self._nursery: trio.Nursery | None = None
        self._n_instances = n_instances
        self._version = 0
        self._is_closing = False

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the stand-ins, then all instances."""
        self._nursery = nursery
        await self.standin.start(nursery)
        for database in list(self.standin.replicas.databases.values()):
            await self._forward(database)
        self.publish()
        nursery.start_soon(self._refuse_connections)
        ports = self._reserve_ports(N_PORTS * self._n_instances)
        for number in range(self._n_instances):
            own = ports[number * N_PORTS : (number + 1) * N_PORTS]
            instance = _Instance(number, own, self.standin.http.port)
            await instance.clients.start(nursery)
            await instance.store.start(nursery)
            self.instances.append(instance)
        for instance in self.instances:
            self._write_settings(instance)
            nursery.start_soon(self._run, instance)

    def _reserve_ports(self, n_ports: int) -> tuple[int, ...]:
        reservation = PortReservation(n_ports)
        self._reservations.append(reservation)
        return reservation.ports

    async def _forward(self, database: Database) -> None:
        """Put a forwarder before a database."""
        assert self._nursery is not None
        forwarder = Forwarder(int(database.upstream.address.rpartition(":")[2]))
        (port,) = self._reserve_ports(1)
        await forwarder.start(self._nursery, port)
        self.databases[database.upstream.upstream_id] = forwarder
        database.upstream = msgspec.structs.replace(
            database.upstream, address=f"127.0.0.1:{forwarder.port}"
        )

    async def _refuse_connections(self) -> None:
        """Let the hosts of stopped databases refuse connections, until cancelled.

        Those of silent ones accept connections and do not answer.
        """
        known: dict[UpstreamId, Forwarder] = {}
        while True:
            await trio.sleep(REFUSAL_POLL_S)
            for forwarder in set(known.values()) - set(self.databases.values()):
                forwarder.refuse()
            known = dict(self.databases)
            for name, forwarder in known.items():
                database = self.standin.replicas.databases.get(name)
                if database is None:
                    continue
                is_refusing = not database.is_alive and not database.is_silent
                if is_refusing:
                    forwarder.refuse()
                elif forwarder.is_refusing:
                    await forwarder.accept()

    def record(self, text: str) -> None:
        """Add a line to the injected faults."""
        at_s = trio.current_time() - self.faults_begun_at
        self.injected.append(f"{at_s:.1f} s {text}")

    def make_id(self) -> UpstreamId:
        """Return an id that no database has had."""
        self._n_ids += 1
        return UpstreamId(f"{SERVICE}-{self._n_ids - 1}")

    async def add_database(
        self, upstream_id: UpstreamId, copy_of: UpstreamId | None
    ) -> None:
        """Add a replica that is not listed yet."""
        assert self._nursery is not None
        database = await self.standin.add_database(self._nursery, upstream_id, copy_of)
        await self._forward(database)

    def rename_database(self, upstream_id: UpstreamId, new_id: UpstreamId) -> None:
        """Start a database again under a new id."""
        self.standin.replicas.restart(upstream_id, new_id=new_id)
        self.databases[new_id] = self.databases.pop(upstream_id)

    def empty_database(self, upstream_id: UpstreamId) -> None:
        """Start a database again under its id, without its log."""
        self._losses_at.append(trio.current_time())
        self.standin.replicas.restart(upstream_id, is_empty=True)

    def remove_database(self, upstream_id: UpstreamId) -> None:
        """Remove a replica for good."""
        self._losses_at.append(trio.current_time())
        self.standin.replicas.remove_database(upstream_id)
        del self.databases[upstream_id]

    def may_lose_log(self, upstream_id: UpstreamId) -> bool:
        """Return whether a database may lose its log.

        Every acknowledged commit is then at another database that keeps its log. An
        earlier loss was some time ago, and the replicas have all commits again; that
        of a primary is the first loss. No call waits that would promote the database.
        """
        replicas = self.standin.replicas
        if self.lost_databases or upstream_id in replicas.waiting_promotions:
            return False
        database = replicas.databases.get(upstream_id)
        if database is None:
            return False
        others = [d for d in replicas.databases.values() if d is not database]
        n_held = sum(self._holds_all(other) for other in others)
        if not self._losses_at:
            return n_held > 0
        if trio.current_time() - self._losses_at[-1] < LOSS_INTERVAL_S:
            return False
        return n_held == len(others) and database.role is UpstreamRole.REPLICA

    def may_lose_for_good(self, upstream_id: UpstreamId) -> bool:
        """Return whether a database may be lost: no other log is lost in the run."""
        others = [
            database
            for name, database in self.standin.replicas.databases.items()
            if name != upstream_id
        ]
        has_losses = bool(self.lost_databases or self._losses_at)
        return not has_losses and any(self._holds_all(other) for other in others)

    def _holds_all(self, database: Database) -> bool:
        """Return whether a database holds every acknowledged commit."""
        held = {entry.position for entry in database.log}
        acknowledged = self.standin.replicas.acknowledged
        return all(entry.position in held for _, entry in acknowledged)

    def holds_all(self, upstream_id: UpstreamId) -> bool:
        """Return whether a running database holds every acknowledged commit."""
        database = self.standin.replicas.databases[upstream_id]
        return database.is_alive and self._holds_all(database)

    def lose_for_good(self, upstream_id: UpstreamId, is_silent: bool) -> None:
        """Stop a database that is not started again.

        :param is_silent: whether its host does not respond at all.
        """
        self.lost_databases.add(upstream_id)
        self.standin.replicas.crash(upstream_id, is_silent=is_silent)

    def kill_all(self) -> None:
        """Kill the processes of all instances."""
        for instance in self.instances:
            self.signal(instance, signal.SIGKILL)

    def find_holder(self) -> str | None:
        """Return the name of the instance that holds the duty of the service."""
        item = self.standin.store.items.get(f"celeryfold/duties/{SERVICE}")
        return item.value.decode().split(" ")[0] if item is not None else None

    def publish(self) -> None:
        """Publish a newer version of the configuration."""
        self._version += 3
        keys, limits = self.accounts.list_keys(), self.accounts.list_limits()
        self.standin.publish(self._version, DATABASE_KINDS, keys, limits)

    def _write_settings(self, instance: _Instance) -> None:
        store = f"127.0.0.1:{instance.store.port}"
        settings = {
            "instance": instance.name,
            "data_centre": instance.place,
            "regions": dict.fromkeys(PLACES, "region"),
            "clients": f"127.0.0.1:{instance.ports[0]}",
            "probes": f"127.0.0.1:{instance.ports[1]}",
            "peers": f"127.0.0.1:{instance.ports[2]}",
            "metrics_port": instance.ports[3],
            "seeds": [f"127.0.0.1:{i.ports[2]}" for i in self.instances],
            "store": store,
            "promotions": store,
            "grace_s": GRACE_S,
            "key_revocation": {"is_strict": False, "timeout_ms": 5000},
            "rate_limit": {"window_s": 5, "excess": 0.1, "slack": 20},
        }
        data = msgspec.json.encode(settings)
        self._get_settings_path(instance).write_bytes(data)

    def _get_settings_path(self, instance: _Instance) -> Path:
        return self.folder / f"{instance.name}.json"

    async def _run(self, instance: _Instance) -> None:
        """Run an instance and restart it after each exit until the deployment ends."""
        path = self._get_settings_path(instance)
        log = self.folder / f"{instance.name}.log"
        environment = {**os.environ, SETTINGS_VARIABLE: str(path)}
        command = [sys.executable, "-m", "celeryfold", "proxy"]
        while not self._is_closing:
            with log.open("ab") as output:
                instance.process = subprocess.Popen(
                    command, stdout=output, stderr=output, env=environment
                )
            n_bytes = log.stat().st_size
            while instance.process.poll() is None:
                await trio.sleep(EXIT_POLL_S)
            has_started = log.stat().st_size > n_bytes
            self._record_exit(instance, instance.process.returncode, has_started)
            await trio.sleep(RESTART_S)

    def _record_exit(self, instance: _Instance, code: int, has_started: bool) -> None:
        """Record an exit that is not explained by a signal of the soak."""
        allowed = {0, -signal.SIGKILL}
        if not has_started:
            # The signal arrived before the program logged anything, so no work is lost.
            allowed |= {-signal.SIGTERM, -signal.SIGHUP}
        if code not in allowed:
            self.unexpected_exits.append(
                f"EXIT: {instance.name} exited unexpectedly with status {code}"
            )

    def find_logged_errors(self) -> list[str]:
        """Return the unexpected errors in the logs, each kind once per instance."""
        found: dict[str, None] = {}
        for instance in self.instances:
            path = self.folder / f"{instance.name}.log"
            text = path.read_text(errors="replace") if path.exists() else ""
            for line in text.splitlines():
                if '"exc_info"' in line:
                    message, error = _read_error(line)
                    if not error.startswith(EXPECTED_ERRORS):
                        found[f"ERROR: {instance.name}: {message}: {error}"] = None
        return list(found)

    def signal(self, instance: _Instance, number: int) -> None:
        """Send a signal to the process of an instance if it is running."""
        if instance.process is not None and instance.process.poll() is None:
            instance.process.send_signal(number)

    async def pause(self, instance: _Instance, seconds: float) -> None:
        """Suspend the process of an instance for a time."""
        self.signal(instance, signal.SIGSTOP)
        instance.is_paused = True
        await trio.sleep(seconds)
        self.signal(instance, signal.SIGCONT)
        instance.is_paused = False

    async def stop(self, instance: _Instance) -> None:
        """Send SIGTERM to a process and kill it if it runs after the grace period."""
        process = instance.process
        self.signal(instance, signal.SIGTERM)
        await trio.sleep(GRACE_S)
        if instance.process is process:
            self.signal(instance, signal.SIGKILL)

    def is_disturbed(self, instance: _Instance) -> bool:
        """Return whether an instance does not run or may not reach the store."""
        store = self.standin.store
        is_unreachable = store.is_down or store.is_silent or instance.store.is_disturbed
        process = instance.process
        is_running = process is not None and process.poll() is None
        return is_unreachable or instance.is_paused or not is_running

    def heal(self) -> None:
        """End all faults and restart stopped databases."""
        store, replicas = self.standin.store, self.standin.replicas
        store.is_down = store.is_silent = False
        store.n_answers_to_lose = 0
        replicas.n_answers_to_lose = replicas.n_promotions_to_lose = 0
        for forwarder in self.list_forwarders():
            forwarder.heal()
        for instance in self.instances:
            self.signal(instance, signal.SIGCONT)
            instance.is_paused = False
        replicas.promotion_lateness_s.clear()
        replicas.statement_lateness.clear()
        replicas.unlisted.clear()
        replicas.heal()
        for upstream_id, database in replicas.databases.items():
            database.is_replication_cut = False
            self.restart_database(upstream_id)
        self._keep_one_database()
        replicas.ship_log()

    def _keep_one_database(self) -> None:
        """Let the databases stay if all of them have reported that they leave.

        A replacement starts before the last one leaves, but the fault has ended.
        """
        running = [d for d in self.standin.replicas.databases.values() if d.is_alive]
        if all(database.upstream.is_leaving for database in running):
            for database in running:
                database.upstream = msgspec.structs.replace(
                    database.upstream, is_leaving=False
                )

    def restart_database(self, upstream_id: UpstreamId) -> None:
        """Start a stopped database again unless it is lost or has another id."""
        database = self.standin.replicas.databases.get(upstream_id)
        if database is None or upstream_id in self.lost_databases:
            return
        if not database.is_alive:
            self.standin.replicas.restart(upstream_id)

    def list_forwarders(self) -> list[Forwarder]:
        """Return all forwarders."""
        own = [forwarder for i in self.instances for forwarder in (i.clients, i.store)]
        return own + list(self.databases.values())

    def close(self) -> None:
        """Kill all processes and free their ports."""
        self._is_closing = True
        for instance in self.instances:
            self.signal(instance, signal.SIGKILL)
            if instance.process is not None:
                instance.process.wait()
        for reservation in self._reservations:
            reservation.close()
