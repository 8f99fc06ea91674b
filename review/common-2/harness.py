"""Stand-ins for the platform, the operator, servers and clients.

Everything runs in one asyncio process, apart from the gateways and
coordinators, which are started with the commands of deploy/system.toml. All
addresses are loopback addresses of this run.
"""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "connectivityWindowMs": 4000,
    "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 3000, "gracePeriodS": 8,
    "lossSlackMs": 200, "configurationApplyMs": 3000, "rollbackSlackMs": 250,
    "outerBoundMs": 6000, "failClosed": False, "revocationMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
    "recoveryS": 12, "passMs": 400, "reuseWindowS": 10, "quotaWindowS": 4,
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes record.txt beside the script."""

    def __init__(self, folder):
        path = os.environ.get("RECORD", pathlib.Path(folder) / "record.txt")
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


# The settings' template of the platform, as far as the deploy file uses it.

def _lookup(fields, path):
    if path == ".":
        return fields
    value = fields
    for name in path.split("."):
        if isinstance(value, list):
            value = value[int(name)] if int(name) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(name)
        else:
            value = None
    return value


def _text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_text(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(text, fields):
    def section(match):
        table = _lookup(fields, match.group(1)) or {}
        parts = []
        for index, (key, value) in enumerate(table.items()):
            last = index == len(table) - 1
            part = match.group(2).replace("{{@}}", key)
            part = part.replace("{{.}}", _text(value))
            parts.append(part.replace("{{,}}", "" if last else ","))
        return "".join(parts)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: _text(_lookup(fields, match.group(1))), text)


class Node:
    """One machine with one process of the system."""

    def __init__(self, platform, role, name, ip, zone):
        self.platform = platform
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.process = None
        self.started = 0
        self.data = platform.folder / name if role == "coordinator" else None
        if self.data:
            self.data.mkdir()

    def fields(self):
        platform = self.platform
        is_front = self.role == "gateway"
        listen = {"control": f"{self.ip}:{platform.control_port}"}
        if is_front:
            listen = {"front": f"{self.ip}:{platform.front_port}",
                      "ready": f"{self.ip}:{platform.ready_port}"}
        return {
            "node": self.name, "role": self.role, "ip": self.ip,
            "zone": self.zone, "region": platform.zones[self.zone],
            "zones": platform.zones, "listen": listen,
            "internalPorts": [platform.peer_port, platform.peer_port + 15],
            "seeds": platform.seeds, "firstStart": self.started == 0,
            "dataDirectory": str(self.data) if self.data else None,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }

    def start(self):
        role = self.platform.deploy["roles"][self.role]
        fields = self.fields()
        words = [render(word, fields) for word in role["run"].split()]
        binary = REPOSITORY / words[0]
        if not binary.exists():
            raise CannotRun(f"{words[0]} is not built")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
               if name in os.environ}
        for name, text in role.get("env", {}).items():
            env[name] = render(text, fields)
        log = open(self.platform.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(binary)] + words[1:], cwd=REPOSITORY, env=env,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.started += 1
        self.platform.record.note(f"platform: {self.name} started, "
                                  f"pid {self.process.pid}")

    def running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.platform.record.note(
            f"platform: {signal.Signals(number).name} to {self.name}")
        if self.running():
            self.process.send_signal(number)

    def memory_mb(self):
        """Returns the resident memory, in MB; None if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None

    def log(self):
        return (self.platform.folder / f"{self.name}.log").read_text(
            errors="replace")


class Platform:
    """Starts and ends the system's processes."""

    def __init__(self, folder, zones=None):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads(
            (REPOSITORY / "deploy/system.toml").read_text())
        self.zones = zones or {"aqaba-a": "aqaba", "amman-a": "amman",
                               "maan-a": "maan"}
        self.base = f"127.{random.randrange(1, 250)}.{random.randrange(250)}."
        self.last_ip = 0
        self.used_ports = set()
        self.control_port = self.free_port()
        self.front_port = self.free_port()
        self.ready_port = self.free_port()
        self.peer_port = self.free_port()
        self.seeds = []
        self.gateways = []
        self.coordinators = []

    def new_ip(self):
        self.last_ip += 1
        return self.base + str(self.last_ip)

    def free_port(self):
        while True:
            with socket.socket() as probe:
                probe.bind((self.base + "254", 0))
                port = probe.getsockname()[1]
            if port not in self.used_ports:
                self.used_ports.add(port)
                return port

    def start(self, gateways=2, coordinators=3):
        zones = list(self.zones)
        for i in range(coordinators):
            zone = zones[i % len(zones)]
            node = Node(self, "coordinator", f"core-{i + 1}", self.new_ip(),
                        zone)
            self.coordinators.append(node)
            self.seeds.append(f"{node.ip}:{self.control_port}")
        for i in range(gateways):
            zone = zones[i % len(zones)]
            self.gateways.append(
                Node(self, "gateway", f"front-{i + 1}", self.new_ip(), zone))
        for node in self.coordinators + self.gateways:
            node.start()

    def controls(self):
        return [(node.ip, self.control_port) for node in self.coordinators]

    def stop(self):
        for node in self.coordinators + self.gateways:
            if node.running():
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.coordinators + self.gateways:
            if node.process:
                node.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# HTTP, as far as the stand-ins need it.

class Message:
    """A request or an answer that was read."""

    def __init__(self, first, headers, body, whole=True):
        self.first = first
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def status(self):
        return int(self.first.split()[1])

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if until_end:
        return await reader.read()
    return b""


async def read_answer(reader):
    first, headers = await read_head(reader)
    try:
        body = await read_body(reader, headers, until_end=True)
    except (asyncio.IncompleteReadError, ConnectionError):
        return Message(first, headers, b"", whole=False)
    return Message(first, headers, body)


def encode(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(address, method, path, body=b"", timeout=3.0, headers=()):
    """Calls once on a new connection; raises OSError or a timeout."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            fields = [("Host", f"{address[0]}:{address[1]}")] + list(headers)
            if body or method in ("PUT", "POST"):
                fields += [("Content-Type", "application/json"),
                           ("Content-Length", len(body))]
            writer.write(encode(f"{method} {path} HTTP/1.1", fields, body))
            await writer.drain()
            return await read_answer(reader)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("closed without an answer") from error


class Operator:
    """Sends configurations as PROTOCOL.md says."""

    def __init__(self, platform):
        self.platform = platform
        self.record = platform.record

    async def put(self, configuration, limit=30.0, timeout=5.0):
        """Sends until a 200 or a final refusal; returns the status."""
        body = json.dumps(configuration).encode()
        version = configuration["version"]
        end = time.monotonic() + limit
        nodes = self.platform.controls()
        turn = 0
        while time.monotonic() < end:
            address = nodes[turn % len(nodes)]
            turn += 1
            try:
                answer = await call(address, "PUT", "/v1/configuration", body,
                                    timeout)
                for _ in range(2):
                    if answer.status != 307:
                        break
                    place = answer.get("location").split("/")[2].split(":")
                    answer = await call((place[0], int(place[1])), "PUT",
                                        "/v1/configuration", body, timeout)
            except (OSError, asyncio.TimeoutError) as error:
                self.record.note(f"operator: version {version}: {error!r}")
                await asyncio.sleep(0.2)
                continue
            self.record.note(f"operator: version {version}, {len(body)} bytes:"
                             f" {answer.status}")
            if answer.status in (200, 400, 409, 412, 413, 422):
                return answer.status
            await asyncio.sleep(0.3)
        return None

    async def get(self, limit=10.0):
        """Reads the configuration back; returns the text or None."""
        end = time.monotonic() + limit
        nodes = self.platform.controls()
        turn = 0
        while time.monotonic() < end:
            address = nodes[turn % len(nodes)]
            turn += 1
            try:
                answer = await call(address, "GET", "/v1/configuration")
                for _ in range(2):
                    if answer.status != 307:
                        break
                    place = answer.get("location").split("/")[2].split(":")
                    answer = await call((place[0], int(place[1])), "GET",
                                        "/v1/configuration")
                if answer.status == 200 and answer.whole:
                    return answer.body
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        return None


class Replica:
    """A sound server; `serve` may be replaced for one in trouble.

    serve(replica, request, reader, writer) answers one request. It returns
    False if the connection is not to be kept.
    """

    def __init__(self, platform, service, zone, serve=None, slots=64):
        self.platform = platform
        self.record = platform.record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = f"i-{random.randrange(16 ** 8):08x}"
        self.ip = platform.new_ip()
        self.port = None
        self.serve = serve or sound
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.runs = []
        self.running = 0
        self.server = None
        self.beats = None
        self.next_node = random.randrange(100)
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._connection, self.ip, 0, limit=16 << 20, backlog=1000)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beats = asyncio.create_task(self._beat_forever())
        self.record.note(f"server: {self.id} of {self.service} at "
                         f"{self.ip}:{self.port}")

    def beat_body(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": f"{self.ip}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "coldRemainingMs": 0, "born": self.born,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": self.sequence}).encode()

    async def beat(self):
        """Sends one heartbeat until a node takes it; returns that node."""
        body = self.beat_body()
        nodes = self.platform.controls()
        for _ in range(2 * len(nodes)):
            address = nodes[self.next_node % len(nodes)]
            try:
                answer = await call(address, "PUT",
                                    f"/v1/instances/{self.id}", body, 1.0)
                if 200 <= answer.status < 300:
                    return address
            except (OSError, asyncio.TimeoutError):
                pass
            self.next_node += 1
        return None

    async def _beat_forever(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = Message(first, headers, body)
                if not await self._answer(request, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        expected = request.get("samphirebank-expect-instance")
        identity = request.get("samphirebank-request-id")
        if expected and expected != self.id:
            self.record.note(f"server: {self.id} answers {identity} with 421")
            writer.write(encode("HTTP/1.1 421 Misdirected Request", [
                ("Samphirebank-Request-Id", identity),
                ("Samphirebank-Not-Executed", "1"), ("Content-Length", 0)]))
            return True
        self.runs.append((time.monotonic(), identity, request))
        self.record.note(f"server: {self.id} runs {identity} "
                         f"{request.first} {len(request.body)} bytes")
        self.running += 1
        try:
            return await self.serve(self, request, reader, writer)
        finally:
            self.running -= 1

    def crash(self):
        """Ends at once: connections are reset and nothing listens."""
        self.record.note(f"server: {self.id} crashes")
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def own_headers(request):
    return [("Samphirebank-Request-Id",
             request.get("samphirebank-request-id")),
            ("Samphirebank-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")]


async def sound(replica, request, reader, writer, work_s=0.015, size=800):
    await asyncio.sleep(work_s)
    body = (request.get("samphirebank-request-id") + "|").encode()
    body = body * (size // len(body) + 1)
    writer.write(encode("HTTP/1.1 200 OK", own_headers(request) + [
        ("Keep-Alive", "timeout=5"), ("Content-Length", size)], body[:size]))
    await writer.drain()
    return True


async def stream(replica, request, reader, writer, events=30, gap_s=0.03,
                 event_bytes=50):
    writer.write(encode("HTTP/1.1 200 OK", own_headers(request) + [
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked")]))
    first = int(request.get("last-event-id", "0") or 0) + 1
    for number in range(first, events + 1):
        await asyncio.sleep(gap_s)
        event = f"id: {number}\ndata: {'x' * event_bytes}\n\n".encode()
        writer.write(b"%x\r\n%b\r\n" % (len(event), event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True


class Connection:
    """A client's kept connection to one gateway."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None
        self.requests = 0

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            *self.address, limit=16 << 20)

    async def send(self, data):
        if self.writer is None:
            await self.open()
        self.writer.write(data)
        await self.writer.drain()
        self.requests += 1

    async def answer(self, timeout):
        return await asyncio.wait_for(read_answer(self.reader), timeout)

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


def request_bytes(method, path, host, identity, key=None, deadline_ms=2000,
                  body=b"", prompt=None, extra=()):
    fields = [("Host", host), ("Samphirebank-Request-Id", identity),
              ("Samphirebank-Deadline-Ms", deadline_ms)]
    if key:
        fields.append(("X-Api-Key", key))
    if prompt:
        fields += [("Samphirebank-Model", "m"),
                   ("Samphirebank-Token-Counts", prompt[0]),
                   ("Samphirebank-Prompt-Prefix", prompt[1])]
    fields += list(extra)
    if body or method in ("POST", "PUT"):
        fields.append(("Content-Length", len(body)))
    return encode(f"{method} {path} HTTP/1.1", fields, body)


def new_id():
    return f"{random.randrange(16 ** 16):016x}"


HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"


def route(name, prefix, kind, service, **changes):
    result = {
        "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
        "timeoutMs": 1000, "targetLatencyMs": 200, "priority": 1,
        "service": service, "attempts": 1, "public": False, "sticky": False,
        "resumable": False}
    result.update(changes)
    return result


def configuration(version, routes, services=("huvo11a", "wuno96b")):
    engine = {"slots": 64, "kvCacheTokens": 626414, "kvTokenBytes": 327680,
              "linkMbps": 550000.0, "moves": True, "backups": True,
              "stride": 4, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
              "handleS": 5.0, "models": [{"name": "m"}]}
    models = {"huvo11a": engine}
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": name, "healthPath": "/health", "maxConnections": 370,
             "protocol": "h1", "tls": False,
             **({"engine": models[name]} if name in models else {})}
            for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                   "tokensPerS": 650000},
        "tenants": [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]}


async def wait_ready(platform, limit=15.0):
    """Waits until every gateway says that it is ready."""
    end = time.monotonic() + limit
    for node in platform.gateways:
        while True:
            try:
                answer = await call((node.ip, platform.ready_port), "GET",
                                    "/v1/readiness", timeout=1.0)
                if answer.status == 200:
                    break
            except (OSError, asyncio.TimeoutError):
                pass
            if time.monotonic() > end:
                raise CannotRun(f"{node.name} is not ready")
            await asyncio.sleep(0.1)


def main(script, play, limit=115.0):
    """Plays the case, ends what it started and exits with its result."""
    platform = Platform(pathlib.Path(script).resolve().parent)
    result = NOT_RUN
    try:
        platform.record.say(f"trouble: {'yes' if TROUBLE else 'no'}")
        loop = asyncio.new_event_loop()
        result = loop.run_until_complete(
            asyncio.wait_for(play(platform), limit))
    except Exception as error:  # a fault of the script is no broken rule
        platform.record.say(f"could not run: {error!r}")
    finally:
        platform.stop()
    platform.record.say({HELD: "rule held", BROKEN: "rule broken",
                         NOT_RUN: "not run"}[result])
    sys.stdout.flush()
    os._exit(result)  # open connections of the stand-ins need no farewell
