"""Starts a small deployment on loopback for the scripts of review/11 to 15.

The gateways and coordinators are the project's own programs, started with the
commands of deploy/system.toml. Clients, replicas, the operator and the
platform (which restarts a process that ends) are the stand-ins of this file.
"""

import asyncio
import json
import os
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
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PORTS = {"front": 8783, "ready": 8780, "control": 8785}
PEER_PORTS = [7400, 7415]
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "connectivityWindowMs": 4000,
    "ackTimeoutMs": 5000, "catchUpS": 4, "drainMs": 3000, "gracePeriodS": 8,
    "lossSlackMs": 200, "configurationApplyMs": 3000, "rollbackSlackMs": 250,
    "outerBoundMs": 6000, "failClosed": False, "revocationMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 58,
    "recoveryS": 12, "passMs": 400, "reuseWindowS": 10, "quotaWindowS": 4,
}
ZONES = {"aqaba-a": "aqaba", "amman-a": "amman", "maan-a": "maan"}


def fill(template, fields):
    """Fills a template of the deploy file, as DEPLOY.md tells placeholders."""

    def value_of(name, scope):
        for part in name.split("."):
            if isinstance(scope, list):
                scope = scope[int(part)]
            else:
                scope = scope.get(part)
        return scope

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text_of(item) for item in value)
        if isinstance(value, dict):
            return json.dumps(value, separators=(",", ":"))
        return str(value)

    def section(match):
        entries = value_of(match.group(1), fields)
        parts = []
        for i, (key, entry) in enumerate(entries.items()):
            part = match.group(2).replace("{{@}}", str(key))
            part = part.replace("{{.}}", text_of(entry))
            part = part.replace("{{,}}", "," if i + 1 < len(entries) else "")
            parts.append(part)
        return "".join(parts)

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: text_of(value_of(m.group(1), fields)), template)


class Record:
    """What was sent, answered and run, a line each, in record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()

    def note(self, what, **fields):
        at = time.monotonic() - self.started
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{at:8.3f} {what} {text}\n")
        self.file.flush()


class Machine:
    def __init__(self, name, role, ip, zone, data):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.data = data
        self.process = None
        self.kept_up = False  # the platform starts it again when it ends
        self.ends = []  # exits that nobody asked for: (time, code)


class Fleet:
    """Machines of one deployment; `seeds` are the first three coordinators."""

    def __init__(self, record, gateways=2, coordinators=3):
        # A script that is stopped still ends its processes.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-fleet-")
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.base = self.free_network()
        self.next_host = 10
        self.machines = []
        zones = list(ZONES)
        self.coordinators = [
            self.add(f"core-{zones[i % 3]}-{i}", "coordinator", zones[i % 3])
            for i in range(coordinators)
        ]
        self.gateways = [
            self.add(f"front-{zones[i % 3]}-{i}", "gateway", zones[i % 3])
            for i in range(gateways)
        ]
        self.seeds = [f"{c.ip}:{PORTS['control']}" for c in self.coordinators[:3]]
        self.watch = None

    @staticmethod
    def free_network():
        while True:
            base = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
            try:
                for port in [*PORTS.values(), PEER_PORTS[0], 19100, 19101]:
                    with socket.socket() as probe:
                        probe.bind((f"{base}.10", port))
                return base
            except OSError:
                continue

    def address(self):
        self.next_host += 1
        return f"{self.base}.{self.next_host}"

    def add(self, name, role, zone):
        data = None
        if role == "coordinator":
            data = os.path.join(self.folder, name)
            os.makedirs(data, exist_ok=True)
        machine = Machine(name, role, self.address(), zone, data)
        self.machines.append(machine)
        return machine

    def fields_of(self, machine, first_start):
        serves = self.roles[machine.role]["serves"]
        listen = {what: f"{machine.ip}:{PORTS[what]}" for what in serves}
        if "front" in serves:
            listen["ready"] = f"{machine.ip}:{PORTS['ready']}"
        return {
            "node": machine.name, "ip": machine.ip, "zone": machine.zone,
            "region": ZONES[machine.zone], "zones": ZONES, "listen": listen,
            "internalPorts": PEER_PORTS, "seeds": self.seeds,
            "firstStart": first_start, "bounds": BOUNDS,
            "dataDirectory": machine.data,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
        }

    def start(self, machine, first_start=False):
        role = self.roles[machine.role]
        fields = self.fields_of(machine, first_start)
        words = [fill(word, fields) for word in role["run"].split()]
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        for key, text in role["env"].items():
            environment[key] = fill(text, fields)
        log = open(os.path.join(self.folder, machine.name + ".log"), "ab")
        machine.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log)
        log.close()
        machine.kept_up = True
        self.record.note("start", machine=machine.name, ip=machine.ip,
                         first_start=first_start)

    def start_all(self):
        for machine in self.machines:
            self.start(machine, first_start=True)

    def keep_up(self):
        """The platform: a process that ends is started again."""

        async def run():
            while True:
                await asyncio.sleep(0.02)
                for machine in self.machines:
                    process = machine.process
                    ended = (machine.kept_up and process is not None
                             and process.poll() is not None)
                    if not ended:
                        continue
                    machine.kept_up = False
                    machine.ends.append((time.monotonic(), process.returncode))
                    self.record.note("ended-by-itself", machine=machine.name,
                                     code=process.returncode)
                    asyncio.get_running_loop().call_later(
                        0.5, self.start, machine)

        self.watch = asyncio.create_task(run())

    def kill(self, machine):
        machine.kept_up = False
        machine.process.send_signal(signal.SIGKILL)
        machine.process.wait()
        self.record.note("kill", machine=machine.name)

    def wipe(self, machine):
        shutil.rmtree(machine.data)
        os.makedirs(machine.data)
        self.record.note("disk-lost", machine=machine.name)

    def log_of(self, machine):
        path = os.path.join(self.folder, machine.name + ".log")
        return Path(path).read_text(errors="replace")

    def end(self):
        if self.watch is not None:
            self.watch.cancel()
        for machine in self.machines:
            machine.kept_up = False
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


async def read_head(reader):
    """Returns the first line and the headers of a message, names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_answer(reader):
    """Returns status, headers and body; raises if the answer is not whole."""
    first, headers = await read_head(reader)
    status = int(first.split()[1])
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return status, headers, body
            body += piece[:-2]
    length = int(headers.get("content-length", "0"))
    return status, headers, await reader.readexactly(length)


async def call(address, method, path, body=b"", timeout=1.0):
    """One call to `control`; returns status, headers and body, or None."""
    host, port = address.split(":")

    async def talk():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = (f"{method} {path} HTTP/1.1\r\nHost: {address}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n")
            writer.write(head.encode() + body)
            return await read_answer(reader)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return None


class Operator:
    """Picks among the nodes that serve control, and follows a 307 twice."""

    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.nodes = lambda: [f"{c.ip}:{PORTS['control']}"
                              for c in fleet.coordinators]

    async def order(self, method, body=b"", address=None):
        address = address or random.choice(self.nodes())
        answer = None
        for _ in range(3):
            answer = await call(address, method, "/v1/configuration", body, 2.0)
            if answer is None or answer[0] != 307:
                break
            address = answer[1]["location"].split("/")[2]
        return answer

    async def put(self, configuration, limit_s):
        """Sends a configuration until it is acknowledged; False at the limit."""
        body = json.dumps(configuration).encode()
        deadline = time.monotonic() + limit_s
        pause = 0.1
        while time.monotonic() < deadline:
            answer = await self.order("PUT", body)
            status = answer[0] if answer else None
            self.record.note("operator-put", version=configuration["version"],
                             status=status)
            if status == 200:
                return True
            await asyncio.sleep(pause)
            pause = min(pause * 2, 1.0)
        return False

    async def read_back(self, limit_s):
        """Reads the configuration until it comes; None at the limit."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            answer = await self.order("GET")
            self.record.note("operator-get", status=answer[0] if answer else None)
            if answer and answer[0] == 200:
                return json.loads(answer[2])
            await asyncio.sleep(0.3)
        return None


class Replica:
    """A sound replica of a plain service, unless `spoil` answers a request.

    `spoil(self, headers, writer)` returns True if it has answered in its own
    way; it is asked once for each request that begins to run.
    """

    def __init__(self, fleet, record, name, service, zone, slots=6,
                 work_s=0.1, spoil=None):
        self.fleet, self.record = fleet, record
        self.id, self.service, self.zone = name, service, zone
        self.slots, self.work_s, self.spoil = slots, work_s, spoil
        self.ip, self.port = fleet.address(), 8080
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.runs = []  # (request id, time) in order
        self.server = self.beats = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beats = asyncio.create_task(self.beat())

    async def stop(self):
        self.beats.cancel()
        self.server.close()

    async def beat(self):
        while True:
            self.sequence += 1
            body = json.dumps({
                "service": self.service, "address": f"{self.ip}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "ready", "coldRemainingMs": 0, "born": self.born,
                "sequence": self.sequence}).encode()
            nodes = [f"{c.ip}:{PORTS['control']}"
                     for c in self.fleet.coordinators]
            random.shuffle(nodes)
            for node in nodes:
                answer = await call(node, "PUT", f"/v1/instances/{self.id}", body)
                if answer and 200 <= answer[0] < 300:
                    break
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                length = int(headers.get("content-length", "0"))
                await reader.readexactly(length)
                await self.answer(first, headers, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller closed, or the script ends
        finally:
            writer.close()

    async def answer(self, first, headers, writer):
        request = headers.get("samphirebank-request-id", "")
        expected = headers.get("samphirebank-expect-instance")
        if expected != self.id or self.running >= self.slots:
            status = 421 if expected != self.id else 503
            self.reply(writer, status, request, b"",
                       "Samphirebank-Not-Executed: 1\r\n")
            return await writer.drain()
        self.running += 1
        self.runs.append((request, time.monotonic()))
        self.record.note("run", replica=self.id, request=request)
        try:
            if self.spoil is not None and await self.spoil(self, headers, writer):
                return
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        self.reply(writer, 200, request, f"done {request}".encode(),
                   f"Samphirebank-Response-Seal: seal-{request}\r\n",
                   head_only=first.startswith("HEAD "))
        await writer.drain()

    def reply(self, writer, status, request, body, more, head_only=False):
        writer.write((f"HTTP/1.1 {status} X\r\nSamphirebank-Request-Id: {request}"
                      f"\r\n{more}Keep-Alive: timeout=5\r\n"
                      f"Samphirebank-Instance-Load: {self.running},0,{self.slots}"
                      f"\r\nContent-Length: {len(body)}\r\n\r\n").encode()
                     + (b"" if head_only else body))


class Client:
    """Sends requests one after the other on a connection that it keeps."""

    def __init__(self, record, gateway, key):
        self.record, self.gateway, self.key = record, gateway, key
        self.reader = self.writer = None
        self.answered_here = 0  # on the open connection
        self.results = []

    async def ask(self, path, deadline_ms=2000, body=b"hi", host="h.example",
                  more=""):
        """Returns a dict: request, outcome (a status or 'closed'), kept."""
        request = f"{random.getrandbits(64):016x}"
        result = {"request": request, "outcome": "closed", "headers": {},
                  "body": b"", "kept": self.answered_here > 0,
                  "sent": time.monotonic()}
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.gateway.ip, PORTS["front"]), 1)
                self.answered_here = 0
                result["kept"] = False
            self.writer.write(
                (f"POST {path} HTTP/1.1\r\nHost: {host}\r\n"
                 f"Samphirebank-Request-Id: {request}\r\n"
                 f"Samphirebank-Deadline-Ms: {deadline_ms}\r\n"
                 f"X-Api-Key: {self.key}\r\n{more}"
                 f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
            status, headers, answer = await asyncio.wait_for(
                read_answer(self.reader), deadline_ms / 1000)
            result.update(outcome=status, headers=headers, body=answer)
            self.answered_here += 1
            if headers.get("connection", "").lower() == "close":
                self.close()
        except asyncio.TimeoutError:
            result["outcome"] = "deadline"
            self.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
        result["ended"] = time.monotonic()
        self.results.append(result)
        self.record.note("answer", request=request, gateway=self.gateway.name,
                         outcome=result["outcome"], kept=result["kept"])
        return result

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
        self.answered_here = 0


def configuration(version, more_routes=()):
    """A configuration with one service and one tenant."""
    route = {"name": "deposit", "host": "h.example", "pathPrefix": "/deposit/",
             "kind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 200,
             "priority": 2, "service": "boardbook", "attempts": 2,
             "public": False, "sticky": False, "resumable": False}
    look = dict(route, name="look", pathPrefix="/look/", kind="idempotent")
    return {
        "version": version, "routes": [route, look, *more_routes],
        "services": [{"name": "boardbook", "healthPath": "/health",
                      "maxConnections": 110, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "guild", "apiKeys": ["key-guild"], "priority": 1}],
    }
