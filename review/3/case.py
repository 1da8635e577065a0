"""A gang loses one runner three times; its job is shown as failed."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.excepthook = lambda *it: (sys.__excepthook__(*it), os._exit(2))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))

import case as cases  # noqa: E402
from boxes import CannotRun  # noqa: E402
from clients import route  # noqa: E402

RUNNERS = 8
CRASHES = 4
DOWN_S = 3.0
EVERY_S = 7.0
WORK_MS = 6500
JOB = "5c0e7a21d94b36f8"
END_S = 100


async def crash_in_turn(case):
    """One runner of eight at a time is down and comes back.

    A task under which two runners have crashed may be given up: no task is at
    work on two of the runners that crash.
    """
    tried = set()
    for i in range(CRASHES):
        began = time.monotonic()
        order = [case.runners[(3 * i + n) % RUNNERS] for n in range(RUNNERS)]
        it = next(it for it in order if not tried & set(it.running))
        tried |= set(it.running)
        it.crash()
        await asyncio.sleep(DOWN_S)
        it.come_back()
        await asyncio.sleep(EVERY_S - (time.monotonic() - began))


async def main(case):
    await case.begin(RUNNERS, [route(attempts=4)])
    await case.client.submit(JOB, {
        "Spec": f"gang={RUNNERS} ms={WORK_MS} cpu=17000",
        "Steps": [{"Count": RUNNERS, "Cpu": 17000, "MemMb": 1024,
                   "EstimateMs": WORK_MS, "Gang": True}]})
    for _ in range(200):
        if all(it.running for it in case.runners):
            break
        await asyncio.sleep(0.05)
    else:
        raise CannotRun("the gang did not start")
    await asyncio.sleep(3)
    if case.trouble:
        case.tasks.append(asyncio.create_task(crash_in_turn(case)))
    end = case.record.began + END_S
    while time.monotonic() < end:
        case.check_alive()
        _, state = await case.client.state(JOB)
        if state == "succeeded":
            return None
        failed = sum(how == "failed" for it in case.runners
                     for _, _, _, how in it.ends)
        if state == "failed" and failed == 0:
            return ("the job is shown as failed, and no run of its tasks "
                    "ended failed")
        if state == "canceled":
            return "the job is shown as canceled, and nobody cancelled it"
        await asyncio.sleep(0.5)
    return None


cases.run(main, HERE)
