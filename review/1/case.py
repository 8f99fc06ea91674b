"""A core machine is replaced as planned; then another one loses its disk. Is the
configuration still there?"""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import standins as s  # noqa: E402

HERE = os.path.dirname(os.path.abspath(__file__))
# 1: both, `replace` or `wipe`: one of them, 0: none.
TROUBLE = os.environ.get("TROUBLE", "1")
CATCH_UP_S = s.BOUNDS["catchUpS"]
SUCCESSOR_RUNS_S = CATCH_UP_S + 2  # before the old machine gets SIGTERM
DISK_LOST_AFTER_S = float(os.environ.get("DISK_LOST_AFTER_S", "4.1"))  # after the old machine has gone
DARK_S = 1
RECOVERY_S = s.BOUNDS["recoveryS"] + 10
READ_FOR_S = s.BOUNDS["connectivityWindowMs"] / 1000 + 2
ROUTES = [("stock", "idempotent", 2000)]


async def find_leader(fleet):
    """The one that answers reads itself."""
    for _ in range(50):
        for process in fleet.coordinators:
            if process.handle and process.handle.poll() is None:
                if await s.read_configuration(process.address("control"), follow=False):
                    return process
        await asyncio.sleep(0.1)
    raise s.CannotRun("no leader")


async def play(record):
    fleet = s.Fleet(record, gateways=1)
    operator = s.Operator(fleet, record)
    try:
        fleet.start_all()
        await operator.put(s.configuration(7, ROUTES))
        await asyncio.sleep(6)
        if TROUBLE in ("1", "replace"):
            leader = await find_leader(fleet)
            zone = fleet.coordinators.index(leader)
            fleet.start(fleet.add_coordinator(zone))
        await asyncio.sleep(SUCCESSOR_RUNS_S)
        await operator.put(s.configuration(8, ROUTES))
        if TROUBLE in ("1", "replace"):
            leader = await find_leader(fleet)
            if fleet.coordinators.index(leader) != zone:
                raise s.CannotRun("the leader changed without a disruption")
            fleet.signal(leader, signal.SIGTERM)
            await asyncio.to_thread(leader.handle.wait, s.BOUNDS["gracePeriodS"])
            record.add("gone-for-good", node=leader.name, code=leader.handle.poll())
        await asyncio.sleep(DISK_LOST_AFTER_S)
        if TROUBLE in ("1", "wipe"):
            victim = next(p for p in fleet.coordinators[:3] if p.handle.poll() is None)
            fleet.signal(victim, signal.SIGKILL)
            victim.handle.wait()
            fleet.lose_disk(victim)
            await asyncio.sleep(DARK_S)
            fleet.start(victim)
        await asyncio.sleep(RECOVERY_S)
        versions = []
        began = time.monotonic()
        while time.monotonic() - began < READ_FOR_S:
            for process in fleet.coordinators:
                if process.handle.poll() is None:
                    versions.append(await s.read_configuration(process.address("control")))
                    record.add("read-back", node=process.name, version=versions[-1])
            await asyncio.sleep(0.3)
        running = sum(process.handle.poll() is None for process in fleet.coordinators)
        try:
            await operator.put(s.configuration(9, ROUTES), limit_s=s.BOUNDS["ackTimeoutMs"] / 1000)
            accepted = "acknowledged"
        except s.CannotRun:
            accepted = "not acknowledged"
        record.add("change", version=9, result=accepted.replace(" ", "-"))
    finally:
        fleet.end()
    answers = [version for version in versions if version is not None]
    print(f"{running} coordinators run; {len(answers)} of {len(versions)} reads answered,"
          f" versions {sorted(set(answers))}, 8 was acknowledged; a further change: {accepted}")
    # CONFIG: read back, the configuration is older than the newest acknowledged
    # version, or doesn't come.
    return not answers or min(answers) < 8


sys.exit(s.run_case(HERE, play))
