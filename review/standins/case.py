"""Runs a case and turns its outcome into the exit code of run.sh."""

import asyncio
import os
import signal
import sys
import traceback

from boxes import Boxes, CannotRun, Record
from clients import Client, Operator, config, route
from runners import Gangs, Runner

TIME_LIMIT = 112
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Case:
    """The boxes, the runners, a client and an operator of one run."""

    def __init__(self, folder, entries=2):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        self.record("trouble" if self.trouble else "no trouble")
        self.boxes = Boxes(entries)
        self.gangs = Gangs(self.record)
        self.operator = Operator(self.boxes, self.record)
        self.client = Client(self.boxes, self.record)
        self.runners = []
        self.tasks = []

    def add_runners(self, count, controls=None, cpu=32000, racks=(),
                    kinds=()):
        for i in range(count):
            n = len(self.runners)
            to = controls or [it.control for it in self.boxes.controls]
            zone = self.boxes.controls[n % 3].zone
            it = Runner(n, to, zone, self.record, self.gangs, cpu,
                        racks[i] if i < len(racks) else None,
                        kinds[i] if i < len(kinds) else "a")
            self.runners.append(it)
            self.tasks.append(asyncio.create_task(it.live()))
            self.tasks.append(asyncio.create_task(it.work()))

    async def begin(self, runners, routes=None, **options):
        self.boxes.start()
        await asyncio.sleep(1)
        await self.operator.put(config(1, routes or [route()]))
        self.add_runners(runners, **options)
        await asyncio.sleep(3)

    def check_alive(self):
        for it in self.tasks:
            if it.done() and not it.cancelled() and it.exception():
                raise it.exception()
        ended = self.boxes.ended_by_themselves()
        if ended:
            self.record("ended by themselves:", ended)


def _say(text):
    """Nobody may be reading; the outcome is in the exit code."""
    try:
        print(text, flush=True)
    except OSError:
        pass


async def _play(main, case):
    async with asyncio.timeout(TIME_LIMIT):
        return await main(case)


def run(main, folder, entries=2):
    """`main` returns what broke, or nothing."""
    case = None
    # Whoever ends the script early leaves none of its processes behind.
    for it in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(it, lambda *_: sys.exit(COULD_NOT_RUN))
    code = COULD_NOT_RUN
    try:
        case = Case(folder, entries)
        broken = asyncio.run(_play(main, case))
        code = BROKEN if broken else HELD
        case.record("BROKEN: " + broken if broken else "held")
        _say("broken: " + broken if broken else "held")
    except (CannotRun, TimeoutError, OSError) as fault:
        _say(f"could not run: {fault!r}")
        if case:
            case.record(f"could not run: {fault!r}")
    except Exception:  # A fault of the case itself says nothing of the rule.
        traceback.print_exc()
    finally:
        if case:
            case.boxes.close(os.environ.get("KEEP_LOGS"))
    os._exit(code)
