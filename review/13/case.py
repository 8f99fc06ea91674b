"""The configuration grows to the number of organisations that the users state
as their target. A version that was acknowledged must be in force at the
gateways after `configurationApplyMs`."""

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
TENANTS = 26_000 if TROUBLE else 2_600
APPLY_S = f.BOUNDS["configurationApplyMs"] / 1000
WATCHED_S = 12.0  # after configurationApplyMs


def grown(version, count, random_names):
    """The configuration with `count` tenants more, each with two keys."""
    letters = "abcdefghijklmnopqrstuvwxyz0123456789"

    def word(length):
        return "".join(random_names.choice(letters) for _ in range(length))

    config = f.configuration(version)
    config["tenants"] += [
        {"name": f"{word(4)}{i}", "apiKeys": [word(20), word(20)], "priority": 1}
        for i in range(count)
    ]
    return config


async def main(record, fleet):
    fleet.start_all()
    fleet.keep_up()
    operator = f.Operator(fleet, record)
    replicas = [f.Replica(fleet, record, f"i-{zone}", "boardbook", zone,
                          work_s=0.015) for zone in f.ZONES]
    for replica in replicas:
        await replica.start()
    if not await operator.put(f.configuration(1), 15):
        return 2, "the first configuration was not accepted"
    clients = [f.Client(record, gateway, "key-guild")
               for gateway in fleet.gateways]
    ready_by = time.monotonic() + 15
    for client in clients:
        while (await client.ask("/deposit/1"))["outcome"] != 200:
            if time.monotonic() > ready_by:
                return 2, "nothing is served"
            await asyncio.sleep(0.2)

    config = grown(2, TENANTS, random.Random(7))
    if not await operator.put(config, 20):
        return 2, "the grown configuration was not acknowledged"
    acknowledged = time.monotonic()
    read = await operator.read_back(10)
    same = read == config
    record.note("read-back", version=read and read["version"], as_sent=same)
    await asyncio.sleep(acknowledged + APPLY_S + 0.1 - time.monotonic())

    # Requests with keys of tenants that the new version added, and with the
    # old tenant's key, at each gateway.
    asked = broken = old_served = 0
    end = time.monotonic() + WATCHED_S
    while time.monotonic() < end:
        for gateway, old in zip(fleet.gateways, clients):
            tenant = config["tenants"][1 + random.randrange(TENANTS)]
            newcomer = f.Client(record, gateway, tenant["apiKeys"][0])
            result = await newcomer.ask("/deposit/1")
            newcomer.close()
            asked += 1
            broken += result["outcome"] in (401, 403, 404)
            old_served += (await old.ask("/deposit/1"))["outcome"] == 200
        await asyncio.sleep(0.2)
    for replica in replicas:
        await replica.stop()
    summary = (f"version 2 with {TENANTS} tenants more acknowledged, read back "
               f"as sent: {same}; from {APPLY_S} s after it {asked} requests "
               f"with keys that it added, refused with 401, 403 or 404: "
               f"{broken}; {old_served} of {asked} with the old key were served")
    if old_served < asked / 2:
        return 2, "the gateways didn't serve; " + summary
    return (1 if broken > 0 else 0), summary


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
