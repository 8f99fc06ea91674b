"""One part of a prompt crashes each replica that begins to write an answer on
it. The gateways must keep such requests from the replicas once it has shown."""

import asyncio
import os
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
import fleet as f  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The events that a replica has written when it crashes. With EVENTS=0 it
# crashes with the head of its answer.
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS", "1"))
WINDOW_S = f.BOUNDS["connectivityWindowMs"] / 1000
ENGINES = 12
CLIENTS = 8  # of sound streams, at each gateway
POISONED_EVERY_S = 0.5
BACK_AFTER_S = 3.0
RUN_S = 35.0
EVENTS, PAUSE_S = 10, 0.03
DEADLY_PART = "dead0001"


class Engine(f.Replica):
    """A model replica that crashes and starts again under its id."""

    def __init__(self, fleet, record, name, zone, crashes):
        super().__init__(fleet, record, name, "engine", zone, slots=64)
        self.crashes = crashes  # times, of all replicas
        self.poisoned = []  # times at which requests with the part came
        self.writers = set()
        self.down = False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def crash(self):
        if self.down:
            return
        self.down = True
        self.crashes.append(time.monotonic())
        self.record.note("crash", replica=self.id)
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()  # its system closes the sockets of a dead process
        asyncio.get_running_loop().call_later(
            BACK_AFTER_S, lambda: asyncio.create_task(self.come_back()))

    async def come_back(self):
        self.born, self.sequence = int(time.time() * 1000), 0
        self.running = 0
        self.down = False
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beats = asyncio.create_task(self.beat())

    async def answer(self, first, headers, writer):
        request = headers.get("samphirebank-request-id", "")
        if headers.get("samphirebank-expect-instance") != self.id:
            self.reply(writer, 421, request, b"",
                       "Samphirebank-Not-Executed: 1\r\n")
            return await writer.drain()
        deadly = DEADLY_PART in headers.get("samphirebank-prompt-prefix", "")
        self.record.note("reaches", replica=self.id, request=request,
                         deadly=deadly)
        if deadly:
            self.poisoned.append(time.monotonic())
        self.running += 1
        try:
            await asyncio.sleep(0.02)  # until the first token
            writer.write((f"HTTP/1.1 200 OK\r\nSamphirebank-Request-Id: {request}"
                          f"\r\nSamphirebank-Response-Seal: seal-{request}\r\n"
                          "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n").encode())
            start = int(headers.get("last-event-id", "0")) + 1
            for i in range(start, EVENTS + 1):
                if deadly and i - start >= EVENTS_BEFORE_CRASH:
                    await writer.drain()
                    await asyncio.sleep(0.005)
                    return self.crash()
                event = f"id: {i}\ndata: {request} {i}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running = max(0, self.running - 1)


async def main(record, fleet):
    fleet.start_all()
    fleet.keep_up()
    operator = f.Operator(fleet, record)
    crashes = []
    zones = list(f.ZONES)
    engines = [Engine(fleet, record, f"e-{i}", zones[i % 3], crashes)
               for i in range(ENGINES)]
    for engine in engines:
        await engine.start()
    route = {"name": "ask", "host": "h.example", "pathPrefix": "/ask/",
             "kind": "streaming", "timeoutMs": 10000, "targetLatencyMs": 1500,
             "priority": 1, "service": "engine", "attempts": 1, "public": False,
             "sticky": True, "resumable": False, "gapTargetMs": 300}
    config = f.configuration(1, [route])
    config["services"].append(
        {"name": "engine", "healthPath": "/health", "maxConnections": 370,
         "protocol": "h1", "tls": False,
         "engine": {"slots": 64, "kvCacheTokens": 626414,
                    "kvTokenBytes": 327680, "linkMbps": 550000.0,
                    "models": [{"name": "m"}]}})
    config["limits"]["tokensPerS"] = 650000
    if not await operator.put(config, 15):
        return 2, "the first configuration was not accepted"

    def prompt(parts):
        parts = [*parts, f"{random.getrandbits(31):x}:40"]
        tokens = sum(int(part.split(":")[1]) for part in parts)
        return ("Samphirebank-Model: m\r\n"
                f"Samphirebank-Token-Counts: {tokens},80\r\n"
                f"Samphirebank-Prompt-Prefix: {','.join(parts)}\r\n")

    shared = [f"{random.getrandbits(31):x}:200" for _ in range(6)]
    for gateway in fleet.gateways:
        probe = f.Client(record, gateway, "key-guild")
        ready_by = time.monotonic() + 15
        while (await probe.ask("/ask/1", 10000,
                               more=prompt([shared[0]])))["outcome"] != 200:
            if time.monotonic() > ready_by:
                return 2, "nothing is served"
            await asyncio.sleep(0.2)
        probe.close()

    end = time.monotonic() + RUN_S

    async def sound(client):
        while time.monotonic() < end:
            result = await client.ask(
                "/ask/1", 10000, more=prompt([random.choice(shared)]))
            await asyncio.sleep(0.05 if result["outcome"] == 200 else 0.3)

    async def poisoned():
        await asyncio.sleep(3)
        while TROUBLE and time.monotonic() < end:
            client = f.Client(record, random.choice(fleet.gateways), "key-guild")
            # Sound prompts share its first part; no two are alike.
            asyncio.create_task(client.ask("/ask/1", 10000, more=prompt(
                [random.choice(shared), f"{DEADLY_PART}:200"])))
            await asyncio.sleep(POISONED_EVERY_S)

    clients = [f.Client(record, gateway, "key-guild")
               for gateway in fleet.gateways for _ in range(CLIENTS)]
    await asyncio.gather(poisoned(), *[sound(client) for client in clients])
    results = [result for client in clients for result in client.results]
    served = sum(result["outcome"] == 200 for result in results)
    cut = sum(result["outcome"] == "closed" for result in results)
    came = sorted(at for engine in engines for at in engine.poisoned)
    late = [at for at in came
            if len(crashes) >= 5 and at > crashes[4] + WINDOW_S]
    for engine in engines:
        await engine.stop()
    summary = (f"{len(crashes)} crashes; requests with the deadly part that "
               f"reached replicas: {len(came)}, of them later than {WINDOW_S} s "
               f"after the fifth crash: {len(late)} (BUDGET: more than 3); "
               f"sound streams: {served} of {len(results)} served, {cut} cut")
    if TROUBLE and len(came) < 3:
        return 2, "no request with the part came; " + summary
    return (1 if len(late) > 3 else 0), summary


def run():
    record = f.Record(HERE / "record.txt")
    fleet = f.Fleet(record, gateways=2)
    try:
        code, summary = asyncio.run(asyncio.wait_for(main(record, fleet), 100))
    except Exception as error:  # the case couldn't run
        code, summary = 2, f"could not run: {error!r}"
    finally:
        fleet.end()
    record.note("result", code=code, summary=summary)
    print(summary)
    return code


if __name__ == "__main__":
    sys.exit(run())
