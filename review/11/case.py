"""A replica in trouble states a length that no answer has, and sends bytes
without end. The gateway must drop that answer; the requests that it has passed
on to sound replicas meanwhile must be answered."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-3"))
import fleet as f  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LENGTH = 1 << 53  # bytes that the spoilt answer announces
RUN_S = 9.0
TROUBLE_AT_S = 4.0
CLIENTS = 14


async def main(record, fleet):
    trouble = {"due": False, "requests": set(), "times": 0}

    async def spoil(replica, headers, writer):
        if not trouble["due"]:
            return False
        trouble["due"] = False
        trouble["times"] += 1
        request = headers["samphirebank-request-id"]
        trouble["requests"].add(request)
        record.note("spoilt-answer", replica=replica.id, request=request)
        writer.write((f"HTTP/1.1 200 OK\r\nSamphirebank-Request-Id: {request}\r\n"
                      f"Content-Length: {LENGTH}\r\n\r\n").encode())
        try:
            while not writer.is_closing():  # until the caller closes
                writer.write(b"x" * 4096)
                await writer.drain()
                await asyncio.sleep(0.01)
        except OSError:
            pass
        return True

    fleet.start_all()
    fleet.keep_up()
    operator = f.Operator(fleet, record)
    replicas = [f.Replica(fleet, record, f"i-{zone}", "boardbook", zone,
                          spoil=spoil if i == 1 else None)
                for i, zone in enumerate(f.ZONES)]
    for replica in replicas:
        await replica.start()
    if not await operator.put(f.configuration(1), 15):
        return 2, "the first configuration was not accepted"
    gateway = fleet.gateways[0]
    probe = f.Client(record, gateway, "key-guild")
    ready_by = time.monotonic() + 15
    while (await probe.ask("/deposit/1"))["outcome"] != 200:
        if time.monotonic() > ready_by:
            return 2, "nothing is served"
        await asyncio.sleep(0.2)
    probe.close()

    clients = [f.Client(record, gateway, "key-guild") for _ in range(CLIENTS)]
    end = time.monotonic() + RUN_S

    async def work(client):
        while time.monotonic() < end:
            result = await client.ask("/deposit/1")
            if result["outcome"] != 200:
                await asyncio.sleep(0.1)

    async def disrupt():
        await asyncio.sleep(TROUBLE_AT_S)
        trouble["due"] = TROUBLE

    await asyncio.gather(disrupt(), *[work(client) for client in clients])
    ran_at_sound = {request for replica in replicas if replica.spoil is None
                    for request, _ in replica.runs}
    results = [result for client in clients for result in client.results]
    lost = [result for result in results
            if result["outcome"] == "closed" and result["kept"]
            and result["request"] in ran_at_sound]
    served = sum(result["outcome"] == 200 for result in results)
    ends = {machine.name: [code for _, code in machine.ends]
            for machine in fleet.machines if machine.ends}
    summary = (f"requests {len(results)}, served {served}, spoilt answers "
               f"{trouble['times']}, closed unanswered at sound replicas from "
               f"kept connections {len(lost)} (LOST: more than 3), processes "
               f"that ended by themselves {ends or 'none'}")
    for replica in replicas:
        await replica.stop()
    if TROUBLE and trouble["times"] == 0:
        return 2, "no answer was spoilt; " + summary
    return (1 if len(lost) > 3 else 0), summary


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
