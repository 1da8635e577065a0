"""A runner that drains has over 500 ends to list; its tasks are run again."""

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

# One of 17 is 0.059 of them; it stands in a rack of its own, with the data.
RUNNERS = 17
RACK = "r-9"
JOBS = 6
TASKS = 240
WORK_MS = 5000
JOB_IDS = [f"5c0e7a21d94b{i:04x}" for i in range(JOBS)]
DRAINS_FOR_S = 9
SETTLE_S = 20


def run_again(case):
    """Starts after a run of the task that ended `done`, which was noted.

    No run lapses here: the check says so if the runner's lease did.
    """
    done = {}
    noted = set()
    for it in case.runners:
        noted |= it.noted
        for at, task, run, how in it.ends:
            if how == "lapsed":
                case.record("a lease lapsed on", it.id)
                return []
            if how == "done":
                done[task] = min(at, done.get(task, at))
    return [(task, run, it.id) for it in case.runners
            for at, task, run in it.starts
            if task in noted and at > done[task]]


async def main(case):
    await case.begin(RUNNERS, [route(attempts=4)], racks=[RACK])
    await asyncio.gather(*(case.client.submit(it, {
        "Spec": f"ms={WORK_MS} cpu=20 near={RACK}",
        "Steps": [{"Count": TASKS, "Cpu": 20, "MemMb": 8,
                   "EstimateMs": WORK_MS, "Affinity": RACK}]})
        for it in JOB_IDS))
    first = case.runners[0]
    await asyncio.sleep(1)
    if len(first.running) < 1200:
        raise CannotRun("the tasks were placed elsewhere")
    if case.trouble:
        case.tasks.append(asyncio.create_task(first.leave(DRAINS_FOR_S)))
    end = time.monotonic() + SETTLE_S
    while time.monotonic() < end:
        case.check_alive()
        for it in JOB_IDS:
            await case.client.state(it)
        await asyncio.sleep(0.5)
    again = run_again(case)
    if again:
        return (f"{len(again)} tasks were started again after a run that ended "
                f"done and was noted, such as {again[0]}")
    return None


cases.run(main, HERE)
