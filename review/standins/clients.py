"""Stand-in clients and an operator."""

import asyncio
import json

from boxes import FRONT_PORT, SERVICE, CannotRun
from net import ask, to_pair

HOST = "nony24.example"
# So much of a body goes into the record.
BODY_TOLD = 300
PREFIX = "/lohu930/"


def route(name="r-3hwrr6x", prefix=PREFIX, attempts=4, priority=0,
          timeout_ms=3000):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix,
            "Kind": "non_idempotent", "TimeoutMs": timeout_ms, "SloMs": 1200,
            "Priority": priority, "Service": SERVICE, "MaxAttempts": attempts,
            "Stretch": 1.5}


def config(version, routes):
    return {"Version": version, "Routes": routes, "Services": [
        {"Name": SERVICE, "HealthPath": "/health", "MaxConns": 64,
         "Protocol": "h1", "Tls": False, "EnforcesCapacity": True,
         "Spare": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}


class Operator:
    def __init__(self, boxes, record):
        self.boxes, self.record = boxes, record

    async def put(self, it, patience=30.0):
        """Sends it, to one node after the other, until it is acknowledged."""
        end = asyncio.get_running_loop().time() + patience
        n = 0
        while asyncio.get_running_loop().time() < end:
            to = self.boxes.controls[n % len(self.boxes.controls)].control
            n += 1
            self.record("operator PUT /config version", it["Version"], "to", to)
            reply = await ask(to_pair(to), "PUT", "/config", to,
                              json.dumps(it).encode(), 1.0)
            if reply is not None and reply.status == 200:
                self.record("operator", "version", it["Version"],
                            "acknowledged by", to)
                return
            if reply is not None and reply.status in (400, 409, 412, 413, 422):
                raise CannotRun(f"configuration refused: {reply}")
            await asyncio.sleep(0.25)
        raise CannotRun("no configuration was acknowledged")


class Client:
    def __init__(self, boxes, record):
        self.boxes, self.record = boxes, record
        self.next = 0

    async def call(self, method, path, body=None, entry=None, limit=3.0):
        if entry is None:
            entry = self.boxes.entries[self.next % len(self.boxes.entries)]
            self.next += 1
        data = json.dumps(body).encode() if body is not None else b""
        reply = await ask(
            (entry.ip, FRONT_PORT), method, path, HOST, data, limit,
            [f"X-Kestrelreel-Deadline-Ms: {int(limit * 1000)}"])
        self.record("client", method, path, data.decode()[:BODY_TOLD], "at",
                    entry.name, "->", reply)
        return reply

    async def submit(self, job, body, patience=20.0):
        """Until it is accepted: the same ID, again and again."""
        end = asyncio.get_running_loop().time() + patience
        while asyncio.get_running_loop().time() < end:
            reply = await self.call("POST", PREFIX + job, body)
            if reply is not None and reply.status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRun("a job was not accepted")

    async def state(self, job):
        reply = await self.call("GET", PREFIX + job)
        if reply is None:
            return None, ""
        if reply.status != 200:
            return reply.status, ""
        return 200, json.loads(reply.body)["State"]
