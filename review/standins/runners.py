"""Stand-in runners, as the users' page on the protocol describes them.

A job's Spec tells what its tasks do here: "ms=6000" is the time of a task,
"lasts" a task that runs until it is stopped, "near=RACK" where its data lies.
"""

import asyncio
import json
import os
import time

from boxes import BOUNDS, SERVICE
from net import ask, to_pair

# An answer that comes later, or holds more, acknowledges nothing.
ANSWER_LIMIT = 1.0
ANSWER_BYTES = 4 << 20
# After a failure it turns to another node, after a growing pause.
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 1.0
RACK_SIZE = 8
PAUSE_AFTER_END = 0.05
# So many ends are listed at a time.
ENDS_LISTED = 500
# The pages let a runner call 50 ms after an end, or else after BackoffMs. With
# EAGER=1 it also calls 50 ms after an answer while it has more ends to list.
EAGER = os.environ.get("EAGER", "0") != "0"


def steady_ms():
    return int(time.monotonic() * 1000)


class Run:
    def __init__(self, task, run, spec, saved):
        self.task, self.run, self.spec = task, run, spec
        self.began = time.monotonic()
        words = dict(it.split("=", 1) if "=" in it else (it, "1")
                     for it in spec.split())
        self.lasts = "lasts" in words
        self.needs = int(words.get("ms", "500")) / 1000
        self.gang = int(words.get("gang", "0"))
        self.cpu = int(words.get("cpu", "1000"))
        self.near = words.get("near", "")
        self.works_since = None if self.gang else self.began

    @property
    def step(self):
        return self.task.rsplit(".", 1)[0]

    def percent(self):
        if self.works_since is None:
            return 0
        if self.lasts:
            return 100
        passed = time.monotonic() - self.works_since
        return min(99, int(100 * passed / self.needs))


class Gangs:
    """Tells the members of a gang's run of each other."""

    def __init__(self, record):
        self.record = record
        self.present = {}
        self.over = set()

    def joined(self, it, runner):
        key = (it.step, it.run)
        members = self.present.setdefault(key, {})
        members[it.task] = (runner, it)
        if len(members) == it.gang:
            self.record("gang", it.step, "run", it.run, "is all present")
            for _, member in members.values():
                member.works_since = time.monotonic()

    def left(self, it, how):
        """One member's run ended: with `done`, or else the others break."""
        key = (it.step, it.run)
        members = self.present.get(key, {})
        members.pop(it.task, None)
        if key in self.over or how in ("alone", "refused"):
            return
        if it.works_since is None:
            return
        self.over.add(key)
        for runner, other in list(members.values()):
            runner.end(other, "done" if how == "done" else "broken")


class Runner:
    """A machine, and its lives one after the other."""

    def __init__(self, number, controls, zone, record, gangs, cpu=32000,
                 rack=None, kind="a"):
        self.number, self.controls, self.zone = number, controls, zone
        self.kind = kind
        self.rack = rack or f"r-{number // RACK_SIZE}"
        self.record, self.gangs, self.cpu = record, gangs, cpu
        self.address = f"127.0.0.1:{20000 + number}"
        self.machine = f"m-{number}"
        self.lives = 0
        self.up = False
        self.starts = []
        self.ends = []
        self.noted = set()
        self.begin_life()

    def begin_life(self):
        self.lives += 1
        self.id = f"i-{self.number}-{self.lives}"
        self.running, self.ended, self.highest = {}, [], {}
        self.sequence = self.last_end = self.fence = 0
        self.lease_until = 0.0
        self.told = None
        self.next_control = self.number
        self.state = "ready"
        self.leaves_at = 0.0
        self.up = True
        self.pause = 0.2
        self.failed_pause = FIRST_PAUSE / 2
        self.has_more = False

    def log(self, *words):
        self.record("runner", self.id, *words)

    def beat(self):
        self.sequence += 1
        self.has_more = len(self.ended) > ENDS_LISTED
        out = {
            "Service": SERVICE, "Addr": self.address, "Zone": self.zone,
            "Version": "v1", "Slots": 8, "State": self.state, "ColdLeftMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemMb": 128000, "Gpu": 0},
            "Labels": [self.kind, self.rack], "machine": self.machine,
            "ClockMs": steady_ms(), "Seq": self.sequence,
            "Running": [[it.task, it.run, "", it.percent(), it.cpu]
                        for it in self.running.values()],
            "Ended": self.ended[:ENDS_LISTED],
        }
        if self.state == "draining":
            left = self.leaves_at - time.monotonic()
            out["RemainingMs"] = max(0, int(left * 1000))
        return json.dumps(out).encode()

    def target(self):
        if self.told:
            return self.told
        return self.controls[self.next_control % len(self.controls)]

    async def live(self):
        """Calls until the program ends; a life that is down does not call."""
        while True:
            if not self.up:
                await asyncio.sleep(0.02)
                continue
            life = self.lives
            sent = time.monotonic()
            ended = self.last_end
            to = self.target()
            reply = await ask(to_pair(to), "PUT", f"/instances/{self.id}", to,
                              self.beat(), ANSWER_LIMIT)
            if life != self.lives or not self.up:
                continue
            timely = time.monotonic() - sent <= ANSWER_LIMIT
            small = reply is not None and len(reply.body) <= ANSWER_BYTES
            if reply is not None and not small:
                self.log("drops an answer of", len(reply.body), "bytes")
            if small and reply.status == 200 and timely:
                self.take(json.loads(reply.body or b"{}"), sent)
            else:
                self.log("beat", self.sequence, "is not acknowledged by", to)
                self.told = None
                self.next_control += 1
                self.failed_pause = min(2 * self.failed_pause, LONGEST_PAUSE)
                self.pause = self.failed_pause
            if EAGER and self.has_more and self.ended:
                self.pause = PAUSE_AFTER_END
            due = time.monotonic() + self.pause
            while time.monotonic() < due and self.last_end == ended:
                await asyncio.sleep(0.02)
            if self.last_end > ended:
                await asyncio.sleep(PAUSE_AFTER_END)

    async def work(self):
        """Ends what is due."""
        while True:
            await asyncio.sleep(0.01)
            if not self.up:
                continue
            now = time.monotonic()
            for it in list(self.running.values()):
                if now >= self.lease_until:
                    self.end(it, "lapsed")
                elif it.works_since is None:
                    if now - it.began > BOUNDS["gang_ms"] / 1000:
                        self.end(it, "alone")
                elif not it.lasts and now - it.works_since >= it.needs:
                    self.end(it, "done")

    def take(self, answer, sent):
        self.pause = answer.get("BackoffMs", 200) / 1000
        self.failed_pause = FIRST_PAUSE / 2
        if "HeartbeatAddr" in answer:
            self.told = answer["HeartbeatAddr"]
        fence = answer.get("FenceToken", 0)
        if fence < self.fence:
            return
        self.fence = fence
        hold = min(answer.get("HoldMs", 0), BOUNDS["HoldMaxMs"]) / 1000
        if hold > 0:
            self.lease_until = max(self.lease_until, sent + hold)
        last = answer.get("LastSeen", 0)
        starts, stops = answer.get("Start", []), answer.get("Stop", [])
        if starts or stops or self.ended:
            self.log("beat", self.sequence, "listed", min(len(self.ended),
                     ENDS_LISTED), "of", len(self.ended), "ends; answer: Start",
                     len(starts), "Stop", len(stops), "LastSeen", last)
        for it in self.ended:
            if it[0] <= last and it[3] == "done":
                self.noted.add(it[1])
        self.ended = [it for it in self.ended if it[0] > last]
        for task, run in stops:
            it = self.running.get(task)
            if it and it.run == run:
                self.end(it, "stopped")
            self.highest[task] = max(self.highest.get(task, 0), run)
        if time.monotonic() >= self.lease_until:
            return
        for task, run, spec, saved, *_ in starts:
            self.start(Run(task, run, spec, saved))

    def start(self, it):
        live = self.running.get(it.task)
        if live and live.run >= it.run:
            return
        used = sum(other.cpu for other in self.running.values())
        if live or self.highest.get(it.task, 0) >= it.run \
                or used + it.cpu > self.cpu:
            self.last_end += 1
            self.ended.append([self.last_end, it.task, it.run, "refused", ""])
            self.log("refused", it.task, it.run)
            return
        if it.near not in ("", self.rack):
            it.needs *= BOUNDS["far_x"]
        self.running[it.task] = it
        self.log("starts", it.task, "run", it.run)
        self.starts.append((time.monotonic(), it.task, it.run))
        if it.gang:
            self.gangs.joined(it, self)

    def end(self, it, how):
        if self.running.get(it.task) is not it:
            return
        del self.running[it.task]
        self.highest[it.task] = max(self.highest.get(it.task, 0), it.run)
        self.last_end += 1
        self.ended.append([self.last_end, it.task, it.run, how, ""])
        self.log("ends", it.task, "run", it.run, how)
        self.ends.append((time.monotonic(), it.task, it.run, how))
        if it.gang:
            self.gangs.left(it, how)

    async def leave(self, after_s):
        """Drains, and goes after DrainMs and somewhat longer."""
        self.leaves_at = time.monotonic() + after_s
        self.state = "draining"
        self.log("drains")
        await asyncio.sleep(after_s)
        self.log("leaves with", len(self.running), "runs")
        self.up = False
        self.running = {}
        for to in self.controls:
            reply = await ask(to_pair(to), "DELETE", f"/instances/{self.id}",
                              to, b"", ANSWER_LIMIT)
            if reply is not None and reply.status == 200:
                return

    def crash(self):
        self.log("crashes with", ",".join(self.running) or "nothing")
        self.up = False
        lost, self.running = list(self.running.values()), {}
        for it in lost:
            if it.gang:
                self.gangs.left(it, "gone")

    def come_back(self):
        self.begin_life()
        self.log("begins")
