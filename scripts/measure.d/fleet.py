"""Real samphirebank processes on loopback for the measurements.

A Fleet starts control instances, routers and stand-in targets in one folder
and asks them over HTTP. Its processes can be killed, frozen and started again.

    with fleet.Fleet(fleet.binary()) as bank:
        bank.start_control(3)
        bank.start_routers(9)
        bank.put_contract("coop", {"key_hashes": [fleet.key_hash("secret")]})
"""
import collections
import hashlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
FLEET_KEY = "ab" * 32
TOKEN = "a-token-for-measuring"  # of operators and of targets
HEADER_BYTES = 28  # of IP and UDP, a datagram
GIVE_UP_S = 40
ANSWER_TIMEOUT_S = 3.6  # then a change is sent to another instance
TRY_AGAIN_S = 0.02
TICKS = os.sysconf("SC_CLK_TCK")

# Below the range that the kernel gives to outgoing connections.
LOWEST_PORT = 10240
HIGHEST_PORT = 32767

ControlPorts = collections.namedtuple("ControlPorts", "peer operator")
RouterPorts = collections.namedtuple("RouterPorts", "caller admin peer")


class PortSource:
    """Gives ports that are free for TCP and UDP, none of them twice."""

    def __init__(self):
        self.last = random.SystemRandom().randint(LOWEST_PORT, HIGHEST_PORT)

    def take(self):
        for _ in range(HIGHEST_PORT - LOWEST_PORT + 1):
            self.last = self.last + 1 if self.last < HIGHEST_PORT else LOWEST_PORT
            if self.is_free(self.last):
                return self.last
        raise SystemExit("no port is free")

    @staticmethod
    def is_free(port):
        with socket.socket() as stream, socket.socket(
                type=socket.SOCK_DGRAM) as datagram:
            try:
                stream.bind(("127.0.0.1", port))
                datagram.bind(("127.0.0.1", port))
            except OSError:
                return False
        return True


PORTS = PortSource()


def free_port():
    """Returns a port that no other call in this process has returned."""
    return PORTS.take()


def binary(build="build"):
    """Returns the path of the program in a build folder."""
    return os.path.join(ROOT, build, "bin", "samphirebank")


def key_hash(key):
    """Returns the hash of an API key that a contract holds."""
    return hashlib.blake2b(key.encode(), digest_size=32).hexdigest()


class Process:
    """One program that can be killed, frozen and started again."""

    def __init__(self, words, output):
        self.words, self.output = [str(word) for word in words], output
        self.child = None
        self.start()

    def start(self):
        environment = {"SAMPHIREBANK_FLEET_KEY": FLEET_KEY,
                       "SAMPHIREBANK_OPERATOR_TOKEN": TOKEN,
                       "SAMPHIREBANK_TARGET_TOKEN": TOKEN}
        with open(self.output, "ab") as output:
            self.child = subprocess.Popen(self.words, env=environment,
                                          stdout=output, stderr=output)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def freeze(self, seconds):
        self.child.send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.child.send_signal(signal.SIGCONT)

    def cpu_seconds(self):
        with open(f"/proc/{self.child.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def resident_kb(self):
        with open(f"/proc/{self.child.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmRSS"):
                    return int(line.split()[1])
        return 0


class Fleet:
    """The processes of one fleet, by name: c1..., r1... and targets' own."""

    def __init__(self, program):
        self.program = program
        self.folder = tempfile.mkdtemp(prefix="samphirebank-measure-")
        self.processes = {}
        self.control = {}  # name -> ControlPorts
        self.routers = {}  # name -> RouterPorts
        self.targets = []  # names of emulator processes
        self.leader_port = 0

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.end()
        shutil.rmtree(self.folder)

    def end(self):
        """Kills all processes; the folder stays."""
        for process in self.processes.values():
            process.kill()

    def path(self, name):
        return os.path.join(self.folder, name)

    # Starting.

    def add(self, name, words):
        self.processes[name] = Process([self.program, *words],
                                       self.path(name + ".out"))

    def place(self, name, zone):
        return ["--instance", name, "--region", "home", "--availability-zone",
                zone, "--log-file", self.path(name + ".log")]

    def start_control(self, count):
        for number in range(1, count + 1):
            self.control[f"c{number}"] = ControlPorts(free_port(), free_port())
        members = []
        for name, ports in self.control.items():
            members += ["--member", f"{name}=127.0.0.1:{ports.peer}"]
        for name, ports in self.control.items():
            words = ["control", *self.place(name, "zone-" + name[1:]),
                     "--peer-port", ports.peer, "--operator-port",
                     ports.operator, "--data-folder", self.path(name), *members]
            self.add(name, words + (["--bootstrap"] if name == "c1" else []))

    def start_routers(self, count):
        """Starts routers until there are `count`; returns once all are ready."""
        control = []
        for ports in self.control.values():
            control += ["--control", f"127.0.0.1:{ports.peer}"]
        for number in range(len(self.routers) + 1, count + 1):
            name = f"r{number}"
            ports = RouterPorts(free_port(), free_port(), free_port())
            self.routers[name] = ports
            zone = f"zone-{(number - 1) % 3 + 1}"
            self.add(name, ["router", *self.place(name, zone), "--caller-port",
                            ports.caller, "--admin-port", ports.admin,
                            "--peer-port", ports.peer, *control])
        self.wait("some routers did not become ready",
                  lambda: all(self.router_ready(name) for name in self.routers))

    def start_emulator(self, name, *words):
        """Starts targets NAME-1, NAME-2... and returns their ports by name."""
        self.targets.append(name)
        routers = []
        for ports in self.routers.values():
            routers += ["--router", f"127.0.0.1:{ports.admin}"]
        ports_file = self.path(name + ".ports")
        self.add(name, ["emulator", "--id-prefix", name, "--region", "home",
                        "--availability-zone", "zone-1", "--ports-file",
                        ports_file, *routers, *words])
        self.wait(name + " did not start", lambda: os.path.exists(ports_file))
        with open(ports_file, encoding="utf-8") as ports:
            return json.load(ports)

    def wait(self, text, condition):
        give_up = time.monotonic() + GIVE_UP_S
        while not condition():
            if time.monotonic() > give_up:
                raise SystemExit(text)
            time.sleep(TRY_AGAIN_S)

    # Asking.

    def ask(self, port, method, path, headers=None, body=None):
        """Returns (status, document), or (0, None) without a whole answer."""
        connection = http.client.HTTPConnection("127.0.0.1", port,
                                                timeout=ANSWER_TIMEOUT_S)
        try:
            connection.request(method, path, body, {
                "Authorization": "Bearer " + TOKEN, **(headers or {})})
            reply = connection.getresponse()
            return reply.status, json.loads(reply.read())
        except (OSError, http.client.HTTPException, ValueError):
            return 0, None
        finally:
            connection.close()

    def insist(self, method, path, headers=None, body=None, limit_s=GIVE_UP_S):
        """Asks one control instance after the other until the outcome is known."""
        operators = [ports.operator for ports in self.control.values()]
        port = self.leader_port or operators[0]
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            status, document = self.ask(port, method, "/operator/v1/" + path,
                                        headers, body)
            if status in (200, 404, 409, 422):
                self.leader_port = port
                return status, document
            known = document.get("leader") if status == 421 else None
            if known and int(known.split(":")[1]) != port:
                port = int(known.split(":")[1])
            else:
                port = operators[(operators.index(port) + 1) % len(operators)]
            time.sleep(TRY_AGAIN_S)
        raise RuntimeError(f"no outcome of {method} {path}")

    def put_contract(self, organisation, contract, change="", wait=False):
        """Writes an organisation's first contract; returns its revision."""
        query = "?wait=in-force" if wait else ""
        status, document = self.insist(
            "PUT", f"contracts/{organisation}{query}",
            {"Change-Id": change or organisation, "If-Match": "0"},
            json.dumps(contract))
        if status != 200:
            raise RuntimeError(f"contract of {organisation}: {status} {document}")
        return document["revision"]

    def leader(self):
        """Returns the name of the control instance that leads, waiting for it."""
        while True:
            for name, ports in self.control.items():
                status, _ = self.ask(ports.operator, "GET",
                                     "/operator/v1/contracts")
                if status == 200:
                    return name
            time.sleep(TRY_AGAIN_S)

    def router_ready(self, name):
        status, _ = self.read_admin(name, "/readyz")
        return status == 200

    def router_metrics(self, name):
        """Returns a router's samples by name, without the program's prefix."""
        _, text = self.read_admin(name, "/metrics")
        pairs = (line.rsplit(" ", 1) for line in text.splitlines()
                 if line and not line.startswith("#"))
        return {key.removeprefix("samphirebank_"): float(value)
                for key, value in pairs}

    def read_admin(self, name, path):
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.routers[name].admin, timeout=5)
        try:
            connection.request("GET", path)
            reply = connection.getresponse()
            return reply.status, reply.read().decode()
        except (OSError, http.client.HTTPException):
            return 0, ""
        finally:
            connection.close()

    def control_bytes(self, names):
        """Returns what routers sent and received from peers so far, with headers."""
        total = 0
        for name in names:
            now = self.router_metrics(name)
            total += (now["peer_bytes_sent_total"] +
                      now["peer_bytes_received_total"] +
                      HEADER_BYTES * (now["peer_packets_sent_total"] +
                                      now["peer_packets_received_total"]))
        return total

    # Load.

    def start_load(self, ports, mixes, requests, length_s=60):
        """Starts the load generator against callers' ports; see finish_load."""
        number = random.SystemRandom().getrandbits(32)
        mix_file = self.path(f"mix-{number}.json")
        with open(mix_file, "w", encoding="utf-8") as file:
            json.dump({"organisations": mixes}, file)
        command = [self.program, "load", "--organisations-file", mix_file,
                   "--requests", str(requests), "--length-ms",
                   str(1000 * length_s), "--json"]
        for port in ports:
            command += ["--router", f"127.0.0.1:{port}"]
        return subprocess.Popen(command, env={}, stdout=subprocess.PIPE, text=True)

    @staticmethod
    def finish_load(process):
        """Waits for the load generator; returns what each organisation received."""
        text, _ = process.communicate(timeout=120)
        return json.loads(text)["organisations"]
