"""Starts samphirebank with the deploy file's commands and plays its surroundings.

A case makes a Fleet (coordinators and gateways as processes on loopback
addresses), an Operator, Replicas and clients, and writes what was sent,
answered and run to a Record. Only the standard library is used.
"""
import asyncio
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# The bounds of the site dunegate, as its sheet in SYSTEM.md gives them.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "connectivityWindowMs": 4000,
    "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 3000, "gracePeriodS": 8,
    "lossSlackMs": 200, "configurationApplyMs": 3000, "rollbackSlackMs": 250,
    "outerBoundMs": 6000, "failClosed": False, "revocationMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
    "recoveryS": 12, "passMs": 400, "reuseWindowS": 10, "quotaWindowS": 4,
}
ZONES = ["aqaba-a", "amman-a", "maan-a"]
HEARTBEAT_S = 1.2
KEY = "asnmgkcuyj8pjbvk9m68"
HOST = "ficu95.example"


class CannotRun(Exception):
    """The case could not be played; exit code 2."""


class Record:
    """The lines of record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, kind, **fields):
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {kind} {words}\n")

    def close(self):
        self.file.close()


def render(template, settings):
    """Fills in a template of the deploy file as DEPLOY.md says."""

    def value_of(name):
        value = settings
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(str(item) for item in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def section(match):
        entries = list(value_of(match.group(1)).items())
        parts = []
        for i, (key, value) in enumerate(entries):
            comma = "," if i + 1 < len(entries) else ""
            parts.append(match.group(2).replace("{{@}}", key).replace("{{.}}", value).replace("{{,}}", comma))
        return "".join(parts)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text_of(value_of(match.group(1))), template)


class Process:
    def __init__(self, name, role, settings):
        self.name, self.role, self.settings = name, role, settings
        self.handle = None

    @property
    def ip(self):
        return self.settings["ip"]

    def address(self, what):
        ip, port = self.settings["listen"][what].split(":")
        return ip, int(port)


class Fleet:
    """Coordinators and gateways on addresses and ports of their own."""

    def __init__(self, record, coordinators=3, gateways=3):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        program = os.path.join(ROOT, self.roles["gateway"]["run"].split()[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("the deploy file's build has not been made")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="samphirebank-review-")
        self.coordinators, self.gateways = [], []
        self.choose_addresses(coordinators, gateways)

    def add_coordinator(self, zone):
        """Makes a coordinator on an empty machine that is added later, in the zone of that index."""
        first = self.coordinators[0].settings
        net = first["ip"].split(".")[1]
        base = first["internalPorts"][0]
        ip = f"127.{net}.{1 + zone}.{100 + len(self.coordinators)}"
        process = self.make("coordinator", "core", zone + 3, ip, {"control": f"{ip}:{base + 1}"}, base, first["seeds"])
        process.settings["firstStart"] = False
        self.coordinators.append(process)
        return process

    def lose_disk(self, process):
        """The data folder of a process that does not run is emptied."""
        folder = process.settings["dataDirectory"]
        shutil.rmtree(folder)
        os.mkdir(folder)
        self.record.add("disk-lost", node=process.name)

    def choose_addresses(self, coordinators, gateways):
        for _ in range(50):
            net, base = random.randint(10, 250), random.randrange(20000, 30000, 20)
            cores = [f"127.{net}.{1 + i % 3}.{100 + i}" for i in range(coordinators)]
            fronts = [f"127.{net}.{1 + i % 3}.{10 + i}" for i in range(gateways)]
            self.replica_ips = (f"127.{net}.9.{1 + i}" for i in itertools.count())
            self.replica_port = base + 10
            if all(is_free(ip, port) for ip in cores for port in (base, base + 1, 19101)) and all(
                    is_free(ip, port) for ip in fronts for port in (base, base + 2, base + 3, 19100)):
                break
        else:
            raise CannotRun("no free ports")
        seeds = [f"{ip}:{base + 1}" for ip in cores[:3]]
        for i, ip in enumerate(cores):
            listen = {"control": f"{ip}:{base + 1}"}
            self.coordinators.append(self.make("coordinator", "core", i, ip, listen, base, seeds))
        for i, ip in enumerate(fronts):
            listen = {"front": f"{ip}:{base + 2}", "ready": f"{ip}:{base + 3}"}
            self.gateways.append(self.make("gateway", "front", i, ip, listen, base, seeds))

    def make(self, role, machine, i, ip, listen, base, seeds):
        name = f"{machine}-{ZONES[i % 3]}-{1 + i // 3}"
        folder = None
        if machine == "core":
            folder = os.path.join(self.folder, name)
            os.mkdir(folder)
        return Process(name, role, {
            "node": name, "role": role, "machineClass": machine, "ip": ip,
            "zone": ZONES[i % 3], "region": ZONES[i % 3][:-2],
            "zones": {zone: zone[:-2] for zone in ZONES}, "listen": listen,
            "internalPorts": [base, base + 15], "seeds": seeds, "firstStart": True,
            "dataDirectory": folder, "bounds": BOUNDS,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}})

    def start(self, process):
        role = self.roles[process.role]
        words = [render(word, process.settings) for word in role["run"].split(" ")]
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {name: render(text, process.settings) for name, text in role.get("env", {}).items()}
        words[0] = os.path.join(ROOT, words[0])
        log = open(os.path.join(self.folder, process.name + ".log"), "ab")
        process.handle = subprocess.Popen(words, cwd=ROOT, env=env, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        log.close()
        process.settings = process.settings | {"firstStart": False}
        self.record.add("start", node=process.name, pid=process.handle.pid)

    def signal(self, process, number):
        self.record.add("signal", node=process.name, signal=signal.Signals(number).name)
        process.handle.send_signal(number)

    def start_all(self):
        for process in self.coordinators + self.gateways:
            self.start(process)

    def end(self):
        for process in self.coordinators + self.gateways:
            if process.handle is not None and process.handle.poll() is None:
                process.handle.kill()
        for process in self.coordinators + self.gateways:
            if process.handle is not None:
                process.handle.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def control_nodes(self):
        return [process.address("control") for process in self.coordinators]


def is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


async def read_head(reader):
    """Returns the first line and the headers, names in lower case."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, keep=True):
    """Returns the body; raises if it ends early."""
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def control_call(address, method, path, body, limit=1.0):
    """One call of the system's own interface. Returns (status, headers, body)."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address[0]}:{address[1]}\r\n"
                          "Content-Type: application/json\r\nConnection: close\r\n"
                          f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
            line, headers = await read_head(reader)
            return int(line.split()[1]), headers, await read_body(reader, headers)
        finally:
            writer.close()

    return await asyncio.wait_for(call(), limit)


class Operator:
    """Sends configurations until they are acknowledged."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record

    async def put(self, configuration, limit_s=15):
        began = time.monotonic()
        nodes = self.fleet.control_nodes()
        for attempt in itertools.count():
            if time.monotonic() - began > limit_s:
                raise CannotRun("no configuration was accepted")
            address = nodes[attempt % len(nodes)]
            try:
                for _ in range(3):
                    status, headers, _ = await control_call(address, "PUT", "/v1/configuration", configuration)
                    if status != 307:
                        break
                    ip, _, port = headers["location"].split("/")[2].partition(":")
                    address = (ip, int(port))
                if status == 200:
                    self.record.add("configuration-acked", version=configuration["version"])
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.2)


async def read_configuration(address, follow=True):
    """Reads the configuration at a node. Returns its version, or None."""
    try:
        for _ in range(3 if follow else 1):
            status, headers, body = await control_call(address, "GET", "/v1/configuration", None)
            if status != 307:
                break
            ip, _, port = headers["location"].split("/")[2].partition(":")
            address = (ip, int(port))
        return json.loads(body)["version"] if status == 200 else None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


def configuration(version, routes):
    """A configuration with one tenant and one service, in the form of PROTOCOL.md."""
    return {
        "version": version,
        "routes": [{"name": f"r-{name}", "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
                    "timeoutMs": timeout_ms, "targetLatencyMs": 800, "priority": 1, "service": "wuno96b",
                    "attempts": 2, "public": False, "sticky": False, "resumable": False,
                    "gapTargetMs": 300} for name, kind, timeout_ms in routes],
        "services": [{"name": "wuno96b", "healthPath": "/health", "maxConnections": 110,
                      "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000, "tokensPerS": 650000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}],
    }


class Replica:
    """A sound replica. `serve` is a coroutine (replica, request, headers, writer)."""

    def __init__(self, fleet, record, name, zone, serve, rng, work_s=0.015, slots=16):
        self.fleet, self.record, self.name, self.zone = fleet, record, name, zone
        self.serve, self.rng, self.work_s, self.slots = serve, rng, work_s, slots
        self.ip, self.port = next(fleet.replica_ips), fleet.replica_port
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.acked_leaving_at = None
        self.arrivals = []  # (time, request id, method)
        self.writers = set()
        self.beating = None
        self.nodes_used = []

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, self.ip, self.port)
        self.beating = asyncio.create_task(self.beat())

    async def call_control(self, method, path, body):
        """Picks among the control nodes; calls the next one after a failure."""
        nodes = self.fleet.coordinators
        first = self.rng.randrange(len(nodes))
        for i in range(len(nodes)):
            node = nodes[(first + i) % len(nodes)]
            try:
                status, _, _ = await control_call(node.address("control"), method, path, body)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                continue
            if 200 <= status < 300:
                return node.name
        return None

    async def send_beat(self):
        self.sequence += 1
        node = await self.call_control("PUT", f"/v1/instances/{self.name}", {
            "service": "wuno96b", "address": f"{self.ip}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "coldRemainingMs": 0,
            "born": self.born, "sequence": self.sequence})
        self.nodes_used.append(f"{node}:{self.sequence}")
        self.record.add("heartbeat", replica=self.name, sequence=self.sequence, state=self.state, acked_by=node)

    async def beat(self):
        await asyncio.sleep(self.rng.random() * HEARTBEAT_S)
        while True:
            await self.send_beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def sign_off(self):
        """Leaves without `draining`: ends the heartbeats and sends DELETE until it is acknowledged."""
        self.beating.cancel()
        while self.acked_leaving_at is None:
            node = await self.call_control("DELETE", f"/v1/instances/{self.name}", None)
            if node is not None:
                self.acked_leaving_at = self.record.now()
                self.record.add("signed-off", replica=self.name, acked_by=node,
                                beats=",".join(self.nodes_used[-6:]))

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                await read_body(reader, headers)
                await self.answer(method, target, headers, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, writer):
        request = headers.get("samphirebank-request-id", "")
        if headers.get("samphirebank-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 X\r\nSamphirebank-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n".encode())
            return
        self.arrivals.append((self.record.now(), request, method))
        self.record.add("run", replica=self.name, request=request, target=target)
        await self.serve(self, request, target, writer)

    async def exit(self):
        if self.beating:
            self.beating.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.record.add("exit", replica=self.name)


def answer_head(request, body_bytes):
    return (f"HTTP/1.1 200 OK\r\nSamphirebank-Request-Id: {request}\r\n"
            f"Samphirebank-Response-Seal: 3e1b.07\r\nKeep-Alive: timeout=10\r\n"
            f"Content-Length: {body_bytes}\r\n\r\n").encode()


async def serve_small(replica, request, target, writer):
    """Answers 800 bytes after the work, as the site's plain service does."""
    await asyncio.sleep(replica.work_s)
    writer.write(answer_head(request, 800) + b"b" * 800)


request_numbers = itertools.count(1)


def new_request_id():
    return f"{next(request_numbers):016x}"


def request_bytes(method, name, request, deadline_ms, body=b""):
    return (f"{method} /{name}/x HTTP/1.1\r\nHost: {HOST}\r\nSamphirebank-Request-Id: {request}\r\n"
            f"Samphirebank-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n").encode() + body


class Client:
    """One kept connection to one gateway; opened again when it was closed."""

    def __init__(self, gateway, record):
        self.gateway, self.record = gateway, record
        self.reader = self.writer = None

    async def send(self, method, name, deadline_ms=2000):
        """Sends one request. Returns its status, or None without a complete answer."""
        request = new_request_id()
        status = None
        self.record.add("sent", request=request, route=name, gateway=self.gateway.name)
        try:
            status = await asyncio.wait_for(self.exchange(method, name, request, deadline_ms), deadline_ms / 1000 + 0.3)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            self.drop()
        self.record.add("answered", request=request, status=status)
        return status

    async def exchange(self, method, name, request, deadline_ms):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.gateway.address("front"))
        self.writer.write(request_bytes(method, name, request, deadline_ms))
        line, headers = await read_head(self.reader)
        await read_body(self.reader, headers)
        if headers.get("connection", "").lower() == "close":
            self.drop()
        return int(line.split()[1])

    def drop(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def is_ready(gateway):
    try:
        status, _, _ = await control_call(gateway.address("ready"), "GET", "/v1/readiness", None)
        return status == 200
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return False


async def wait_until(condition, limit_s, what):
    began = time.monotonic()
    while not await condition():
        if time.monotonic() - began > limit_s:
            raise CannotRun(f"timed out: {what}")
        await asyncio.sleep(0.1)


def run_case(folder, play):
    """Plays a case: `play(record)` returns how often the rule was broken. Returns the exit code."""
    record = Record(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(play(record), 115))
    except Exception as error:  # a fault of the case itself is no broken rule
        record.add("cannot-run", why=repr(error))
        print("cannot run:", repr(error))
        return 2
    finally:
        record.close()
    return 1 if broken else 0
