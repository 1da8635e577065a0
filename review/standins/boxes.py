"""Starts the project's own programs as the deploy file does.

The settings come from the templates that deploy/system.toml names, filled from
the fields that the users' pages list, with the bounds of a small deployment.
All addresses are loopback addresses of one 127.N network.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

CONTROL_PORT = 8166
FRONT_PORT = 8161
READY_PORT = 8167
PEER_PORTS = [7720, 7735]
ZONES = ["kumluca", "demre", "serik"]
SERVICE = "huvo11a"
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000,
    "CatchUpS": 4, "DrainMs": 2000, "GraceS": 6, "LossSlackMs": 200,
    "ConfigMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000,
    "RecoveryS": 12, "HoldMaxMs": 10000, "stop_ms": 900, "gang_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14,
    "status_s": 120, "far_x": 1.5, "RequireFencing": True, "LeaseMs": 3000, "ThawMs": 300,
}


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


def _look_up(name, stack):
    if name in (".", "@"):
        return stack[-1].get(name, "") if isinstance(stack[-1], dict) else ""
    first, *rest = name.split(".")
    for frame in reversed(stack):
        if isinstance(frame, dict) and first in frame:
            value = frame[first]
            for part in rest:
                value = value[int(part)] if part.isdigit() else value.get(part)
            return value
    return None


def render(text, stack):
    """Fills a template by the rules of the users' page on deployment."""
    out = []
    pattern = re.compile(r"\{\{(.+?)\}\}", re.S)
    at = 0
    while True:
        found = pattern.search(text, at)
        if not found:
            out.append(text[at:])
            return "".join(out)
        out.append(text[at:found.start()])
        name = found.group(1)
        at = found.end()
        if name[0] in "#^":
            end = text.index("{{/" + name[1:] + "}}", at)
            body = text[at:end]
            at = end + len("{{/" + name[1:] + "}}")
            value = _look_up(name[1:], stack)
            if name[0] == "^":
                if not value:
                    out.append(render(body, stack))
            elif isinstance(value, (dict, list)):
                items = list(value.items() if isinstance(value, dict)
                             else enumerate(value))
                for i, (key, it) in enumerate(items):
                    frame = {"@": key, ".": it, ",": i + 1 < len(items)}
                    part = body.replace("{{,}}", "," if frame[","] else "")
                    out.append(render(part, stack + [frame]))
            elif value:
                out.append(render(body, stack))
            continue
        as_json = name.endswith("|json")
        value = _look_up(name[:-5] if as_json else name, stack)
        if as_json:
            out.append(json.dumps(value))
        elif value is None:
            pass
        elif isinstance(value, bool):
            out.append("true" if value else "false")
        elif isinstance(value, list):
            out.append(",".join(str(it) for it in value))
        else:
            out.append(str(value))


class Box:
    def __init__(self, boxes, name, role, ip, zone):
        self.boxes, self.name, self.role = boxes, name, role
        self.ip, self.zone = ip, zone
        self.bootstrap = True
        self.process = None
        self.peer_ip = ip
        self.data = os.path.join(boxes.folder, name + "-data")
        self.file = os.path.join(boxes.folder, name + ".json")
        self.log = os.path.join(boxes.folder, name + ".log")

    @property
    def control(self):
        return f"{self.ip}:{CONTROL_PORT}"

    @property
    def front(self):
        return (self.ip, FRONT_PORT)

    def write_settings(self):
        core = self.role == "control"
        fields = {
            "Node": self.name, "Role": self.role,
            "MachineClass": "core" if core else "edge", "Ip": self.ip,
            "Zone": self.zone, "Region": "antalya",
            "Zones": {it: "antalya" for it in ZONES},
            "Listen": {"Control": self.control} if core else {
                "Front": f"{self.ip}:{FRONT_PORT}",
                "Ready": f"{self.ip}:{READY_PORT}"},
            "PortRange": PEER_PORTS, "Seeds": self.boxes.seeds,
            "Bootstrap": self.bootstrap, "CountsAsLoss": core,
            "DataDir": self.data if core else None,
            "Tolerate": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS, "Orders": "heartbeat",
            "config_mode": "highest", "HeartbeatMs": 1500,
        }
        role = self.boxes.deploy["roles"][self.role]
        with open(os.path.join(self.boxes.root, role["template"])) as it:
            text = render(it.read(), [fields])
        with open(self.file, "w") as out:
            out.write(text)

    def start(self):
        self.write_settings()
        if self.role == "control":
            os.makedirs(self.data, exist_ok=True)
        run = self.boxes.deploy["roles"][self.role]["run"].split()
        words = [self.file if it == "/etc/kestrelreel/node.yaml" else it
                 for it in run]
        words[0] = os.path.join(self.boxes.root, words[0])
        if not os.access(words[0], os.X_OK):
            raise CannotRun(words[0] + " is not built")
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(
                words, cwd=self.boxes.root, stdin=subprocess.DEVNULL,
                stdout=out, stderr=out)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


class Boxes:
    """Three control boxes and some entry boxes."""

    def __init__(self, entries=2):
        self.root = os.path.abspath(
            os.path.join(os.path.dirname(__file__), "..", ".."))
        with open(os.path.join(self.root, "deploy/system.toml"), "rb") as it:
            self.deploy = tomllib.load(it)
        self.folder = tempfile.mkdtemp(prefix="review-")
        net = self._free_net(entries)
        self.controls = [
            Box(self, f"core-{z}-1", "control", f"127.{net}.{i + 1}.1", z)
            for i, z in enumerate(ZONES)]
        self.entries = [
            Box(self, f"edge-{ZONES[i % 3]}-{i + 1}", "entry",
                f"127.{net}.{i % 3 + 1}.{11 + i}", ZONES[i % 3])
            for i in range(entries)]
        self.seeds = [it.control for it in self.controls]
        self.net = net

    def _free_net(self, entries):
        for i in range(120):
            net = 64 + (os.getpid() + i) % 128
            wanted = [(f"127.{net}.{z + 1}.1", p) for z in range(3)
                      for p in (CONTROL_PORT, PEER_PORTS[0])]
            wanted += [(f"127.{net}.{i % 3 + 1}.{11 + i}", p)
                       for i in range(entries)
                       for p in (FRONT_PORT, READY_PORT, PEER_PORTS[0])]
            if all(self._is_free(it) for it in wanted):
                return net
        raise CannotRun("no free loopback addresses")

    @staticmethod
    def _is_free(address):
        with socket.socket() as it:
            it.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                it.bind(address)
            except OSError:
                return False
        return True

    def start(self):
        for it in self.controls + self.entries:
            it.start()

    def ended_by_themselves(self):
        return [it.name for it in self.controls + self.entries
                if it.process and it.process.poll() is not None]

    def close(self, keep_logs_in=None):
        for it in self.controls + self.entries:
            it.kill()
        if keep_logs_in:
            for it in self.controls + self.entries:
                if os.path.exists(it.log):
                    shutil.copy(it.log, keep_logs_in)
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """record.txt: what was sent, answered and run, with seconds."""

    def __init__(self, path):
        self.out = open(path, "w")
        self.began = time.monotonic()

    def __call__(self, *words):
        passed = time.monotonic() - self.began
        self.out.write(f"{passed:8.3f} " + " ".join(map(str, words)) + "\n")
        self.out.flush()
