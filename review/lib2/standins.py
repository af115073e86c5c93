"""Stand-ins and processes for the scripts of review/4 to review/6.

Standard library only. One asyncio loop holds the platform's store, runners,
clients and proxies; gateways and record stores are processes of the project,
started by the commands of deploy/system.toml with settings that are filled in
from deploy/*.json.in. Every address is on 127.0.0.1.
"""

import asyncio
import json
import os
import queue
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LOCAL = "127.0.0.1"
MOST_SECONDS = 110  # of one case
HEARTBEAT_S = 1.2
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict",
           410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the system."""


class Record:
    """Writes record.txt: what was sent, answered and run. A thread writes, so that
    a slow disk doesn't hold up the stand-ins."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lines = queue.SimpleQueue()
        self.writer = threading.Thread(target=self.write, daemon=True)
        self.writer.start()

    def write(self):
        while (text := self.lines.get()) is not None:
            self.file.write(text)
            self.file.flush()

    def end(self):
        self.lines.put(None)
        self.writer.join()

    def now(self):
        return time.monotonic() - self.began

    def line(self, what, **facts):
        text = " ".join(f"{key}={value}" for key, value in facts.items())
        self.lines.put(f"{self.now():8.3f} {what} {text}".rstrip() + "\n")

    def say(self, text):
        self.line("#", text=text)
        print(text, flush=True)


TASKS = set()


def keep_task():
    """asyncio itself keeps no reference to the tasks of connections."""
    task = asyncio.current_task()
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)


# ---- HTTP/1.1 ---------------------------------------------------------------


async def read_message(reader):
    """Reads a head and a body. Returns (first line, headers, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                break
            body += piece[:-2]
    return lines[0], headers, body


def response(status, headers, body):
    head = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
    for name, value in headers.items():
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


class HttpServer:
    """Serves kept connections, one request at a time on each."""

    def __init__(self):
        self.port = 0
        self.open = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, LOCAL, port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        keep_task()
        self.open.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                await self.answer(method, target, headers, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


# ---- The platform's store ---------------------------------------------------


class Platform(HttpServer):
    """The platform's metadata store, as PROTOCOL.md has it."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.objects = {}  # kind -> name -> object
        self.history = []  # (revision, kind, object, removed)
        self.changed = asyncio.Condition()

    async def commit(self, kind, name, made, removed):
        self.revision += 1
        made["metadata"]["revision"] = self.revision
        made = json.loads(json.dumps(made))
        kinds = self.objects.setdefault(kind, {})
        if removed:
            kinds.pop(name, None)
        else:
            kinds[name] = made
        self.history.append((self.revision, kind, made, removed))
        async with self.changed:
            self.changed.notify_all()
        return made

    async def put(self, kind, name, spec):
        """A write of the operator or of a runner; returns when acknowledged."""
        old = self.objects.get(kind, {}).get(name)
        made = {"metadata": {"name": name, "created": 1, "finalizers": [],
                             "deleting": False},
                "spec": spec, "status": old["status"] if old else {}}
        if old and old["spec"] == spec:
            return old
        return await self.commit(kind, name, made, False)

    async def remove(self, kind, name):
        old = self.objects.get(kind, {}).get(name)
        if old:
            await self.commit(kind, name, old, True)

    async def answer(self, method, target, headers, body, writer):
        status, made = await self.handle(method, target, body)
        writer.write(response(status, {"Content-Type": "application/json"},
                              json.dumps(made).encode()))

    async def handle(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(p) for p in url.path.split("/")[1:]]
        if parts[0] != "objects" or len(parts) < 2:
            return 404, {}
        kind = parts[1]
        held = self.objects.get(kind, {})
        if method == "GET" and len(parts) == 2:
            return await self.watch(kind, query) if "watch" in query else \
                self.list(held, query)
        if method == "GET":
            return (200, held[parts[2]]) if parts[2] in held else (404, {})
        sent = json.loads(body) if body else {}
        meta = sent.get("metadata", {})
        if method == "POST":
            name = meta["name"]
            if name in held:
                return 409, held[name]
            made = {"metadata": {"name": name, "created": 1,
                                 "finalizers": meta.get("finalizers", []),
                                 "deleting": False},
                    "spec": sent.get("spec"), "status": sent.get("status") or {}}
            return 201, await self.commit(kind, name, made, False)
        name = parts[2]
        if name not in held:
            return 404, {}
        old = held[name]
        wanted = meta.get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != old["metadata"]["revision"]:
            return 409, old
        if method == "DELETE":
            return 200, await self.commit(kind, name, dict(old), True)
        made = json.loads(json.dumps(old))
        if len(parts) == 4 and parts[3] == "status":
            made["status"] = sent.get("status")
        else:
            made["spec"] = sent.get("spec")
        if made == old:
            return 200, old
        return 200, await self.commit(kind, name, made, False)

    def list(self, held, query):
        names = sorted(n for n in held if n > query.get("after", ""))
        return 200, {"items": [held[n] for n in names[:500]],
                     "truncated": len(names) > 500, "asOf": self.revision}

    async def watch(self, kind, query):
        after = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            events = [{"object": o, "removed": r} for v, k, o, r in self.history
                      if v > after and k == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


# ---- Runners ----------------------------------------------------------------


class Runner(HttpServer):
    """A runner of one service. Routes whose path begins with /chat/ stream."""

    def __init__(self, record, platform, name, service, zone):
        super().__init__()
        self.record, self.platform = record, platform
        self.name, self.service, self.zone = name, service, zone
        self.id = "i-" + name
        self.runs = []  # (time, attempt, path, body)
        self.events, self.pause = 5, 0.02
        self.starts = 0
        self.work = 0.03

    async def crash(self):
        """The process ends: its address refuses, its channels are reset."""
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()
        self.record.line("crash", runner=self.name)
        TASKS.add(asyncio.create_task(self.lapse(self.id)))

    async def lapse(self, former):
        """The entry goes after three status reports of silence."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.platform.remove("servers", former)

    async def restart(self):
        """A new incarnation at the same address."""
        self.starts += 1
        self.id = f"i-{self.name}-{self.starts}"
        await self.start(self.real_port)
        self.port = self.shown_port
        self.record.line("restart", runner=self.name, id=self.id)
        await self.register()

    async def register(self, phase="ready"):
        await self.platform.put("servers", self.id, {
            "service": self.service, "address": f"{LOCAL}:{self.port}",
            "zone": self.zone, "version": "1", "capacity": 8, "phase": phase,
            "coldLeftMs": 0, "callSeq": 0})

    async def answer(self, method, target, headers, body, writer):
        attempt = headers.get("trayrock-attempt-id", "")
        base = {"Trayrock-Instance-Id": self.id, "Trayrock-Attempt-Id": attempt}
        if target in ("/healthz", "/report"):
            writer.write(response(200, base, b"{}"))
            return
        if headers.get("trayrock-expect-instance", self.id) != self.id:
            writer.write(response(421, base, b""))
            return
        self.runs.append((self.record.now(), attempt, target, body))
        self.record.line("run", runner=self.name, attempt=attempt, path=target,
                         bytes=len(body))
        base["Trayrock-Response-Seal"] = f"seal.{attempt}"
        if not target.startswith("/chat/"):
            await asyncio.sleep(self.work)
            writer.write(response(200, base, f"ok {attempt}".encode()))
            return
        base["Content-Type"] = "text/event-stream"
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
        head += "".join(f"{k}: {v}\r\n" for k, v in base.items()) + "\r\n"
        writer.write(head.encode("latin-1"))
        for number in range(1, self.events + 1):
            piece = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
            await asyncio.sleep(self.pause)
        writer.write(b"0\r\n\r\n")


# ---- Proxies ----------------------------------------------------------------


class Proxy:
    """Passes connections on to one address, as the network between two machines.

    `network` tells for each connection whether its way is cut now and how long
    one way takes. What a cut holds up is passed on when it ends. Open
    connections can also be made silent for good.
    """

    def __init__(self, target_port, network=None, to="", source=""):
        """`source`: the machine that connects, if it is always the same."""
        self.target_port, self.network, self.to = target_port, network, to
        self.source = source
        self.open = set()
        self.silent = set()
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOCAL, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def silence_open(self):
        """Open connections pass nothing more, and are not closed or reset."""
        self.silent |= self.open
        return len(self.open)

    async def serve(self, reader, writer):
        keep_task()
        me = object()
        source = self.source
        if self.network is not None and not source:
            peer = writer.get_extra_info("peername")
            for _ in range(5):
                source = self.network.owner_of(peer[1], self.port)
                if source:
                    break
                await asyncio.sleep(0.005)
            else:  # closed by its owner, or that one has ended
                writer.transport.abort()
                return
        try:
            await self.way(source)
            far_reader, far_writer = await asyncio.open_connection(
                LOCAL, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.open.add(me)
        await asyncio.gather(self.copy(me, source, reader, far_writer),
                             self.copy(me, source, far_reader, writer))
        self.open.discard(me)
        self.silent.discard(me)

    async def way(self, source):
        """Waits as long as the way between the machines takes, or is cut."""
        if self.network is None:
            return
        delay = self.network.delay(source, self.to)
        if delay > 0:
            await asyncio.sleep(delay)
        while self.network.is_cut(source, self.to):
            await asyncio.sleep(0.02)

    async def copy(self, me, source, reader, writer):
        try:
            while True:
                piece = await reader.read(65536)
                await self.way(source)
                if me in self.silent:
                    if not piece:
                        return
                    continue
                if not piece:
                    break
                writer.write(piece)
                await writer.drain()
        except (ConnectionError, OSError):
            if me not in self.silent:
                writer.transport.abort()
            return
        try:
            writer.close()
        except OSError:
            pass


# ---- The project's processes ------------------------------------------------


TAKEN_PORTS = set()


def free_port():
    """A port below the range that outgoing connections take theirs from."""
    for _ in range(1000):
        port = random.randrange(15000, 30000)
        if port in TAKEN_PORTS:
            continue
        with socket.socket() as made:
            try:
                made.bind((LOCAL, port))
            except OSError:
                continue
        TAKEN_PORTS.add(port)
        return port
    raise CannotRun("no free port")


def fill(template, fields):
    """Fills a settings template as DEPLOY.md tells."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict):
                value = value.get(part)
            if value is None:
                return None
        return value

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return str(value)

    template = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
        lambda m: m.group(2) if look_up(m.group(1)) else "", template,
        flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: text(look_up(m.group(1))),
                  template)


BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000,
          "catchUpS": 4.3, "drainMs": 2000, "graceS": 8, "lostSlackMs": 200,
          "configApplyMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000,
          "recoverS": 12, "passMs": 120, "retryAfterS": 0, "finishS": 10,
          "settleMs": 1000}
ZONES = ["lipa-hall", "tanauan-hall", "rosario-hall"]
# The gateways of the sheet `ubasan-logs`: two, two and one.
GATEWAY_ZONES = [ZONES[0], ZONES[0], ZONES[1], ZONES[1], ZONES[2]]


def route(name, prefix, kind, service, timeout, slo, priority, attempts, **more):
    return {"name": name, "host": "ficu95.example", "pathPrefix": prefix,
            "type": kind, "timeoutMs": timeout, "sloMs": slo,
            "priority": priority, "service": service, "attempts": attempts,
            **more}


def configuration(version, more_routes=()):
    """The operator's configuration, with the kinds of request of the sheet."""
    chat = {"retained": True, "retentionS": 60.0, "sticky": True,
            "resumable": False, "gapTargetMs": 400}
    engine = {"capacity": 64, "kvCapacity": 211374, "kvBytes": 18432,
              "linkMbps": 370000.0, "moves": True, "backups": True,
              "chunkTokens": 3, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
              "handle_s": 5.0, "models": [{"name": "m"}]}
    return {
        "version": version,
        "routes": [
            route("row-tally", "/chat/", "streaming", "agent-pool", 5000, 200,
                  1, 2, **chat),
            route("weigh-post", "/tool/", "safe", "ledger-app", 2000, 400, 2, 2),
            route("payout-slip", "/slip/", "unsafe", "ledger-app", 6000, 1200,
                  2, 1),
            *more_routes],
        "services": [
            {"name": "agent-pool", "healthPath": "/healthz", "maxConns": 370,
             "protocol": "h1", "tls": False, "engine": engine},
            {"name": "ledger-app", "healthPath": "/healthz", "maxConns": 110,
             "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Machine:
    """One gateway or store process, with the proxies on the ways to it."""

    def __init__(self, name, role, zone):
        self.name, self.role, self.zone = name, role, zone
        self.process = None
        self.first = True


class Deployment:
    def __init__(self, record, gateways, stores):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="trayrock-review-")
        self.platform = Platform()
        self.machines = {}
        self.proxies = {}  # name -> Proxy
        self.runners = {}
        self.cuts = []
        self.delays = True
        for i, zone in enumerate(gateways):
            self.add(f"gateway-{i + 1}", "gateway", zone)
        for i, zone in enumerate(stores):
            self.add(f"store-{i + 1}", "records", zone)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]

    def add(self, name, role, zone):
        made = Machine(name, role, zone)
        made.ports = {key: free_port() for key in
                      ("rpc", "frontend", "readiness", "metrics")}
        self.machines[name] = made
        return made

    async def start_platform(self):
        await self.platform.start()

    # ---- The network between the machines, for the proxies ------------------

    def owner_of(self, port, proxy_port):
        """The machine whose process has the connection from this port."""
        # The table is long while other programs open many connections, so that
        # it is not taken apart line by line.
        wanted = f" 0100007F:{port:04X} 0100007F:{proxy_port:04X} ".encode()
        with open("/proc/net/tcp", "rb") as table:
            found = [rest.split(maxsplit=7)[6].decode()
                     for rest in table.read().split(wanted)[1:]]
        inode = f"socket:[{found[-1] if found else 0}]"
        for machine in list(self.machines.values()):
            if machine.process is None or machine.process.returncode is not None:
                continue
            folder = f"/proc/{machine.process.pid}/fd"
            try:
                files = os.listdir(folder)
            except OSError:  # the process has ended
                continue
            for each in files:
                try:
                    if os.readlink(f"{folder}/{each}") == inode:
                        return machine.name
                except OSError:  # this file was closed meanwhile
                    continue
        return ""

    def zone_of(self, name):
        return self.machines[name].zone if name in self.machines else ""

    def delay(self, a, b):
        """Seconds of one way, by the sheet of the small deployment."""
        if not self.delays or not self.zone_of(a) or not self.zone_of(b):
            return 0
        return 0.0002 if self.zone_of(a) == self.zone_of(b) else 0.0014

    def is_cut(self, a, b):
        return any((a in side and b in other) or (b in side and a in other)
                   for side, other in self.cuts)

    def cut(self, side, other):
        """Cuts the ways between two groups of machines ("platform": the
        platform's store) until heal()."""
        self.cuts.append((set(side), set(other)))
        self.record.line("cut", between=",".join(sorted(side)),
                         and_=",".join(sorted(other)))

    def heal(self):
        self.cuts.clear()
        self.record.line("heal")

    async def add_runner(self, name, service, zone):
        made = Runner(self.record, self.platform, name, service, zone)
        await made.start()
        self.runners[name] = made
        made.real_port = made.shown_port = made.port
        await made.register()
        return made

    async def start(self, name):
        machine = self.machines[name]
        if f"to {name}" not in self.proxies:
            for key, port, to, source in (
                    (f"to {name}", machine.ports["rpc"], name, ""),
                    (f"platform of {name}", self.platform.port, "platform", name)):
                self.proxies[key] = Proxy(port, self, to, source)
                await self.proxies[key].start()
        machine.data = os.path.join(self.folder, name)
        os.makedirs(machine.data, exist_ok=True)
        fields = {
            "nodeName": name, "zone": machine.zone, "ip": LOCAL,
            "portRange": [machine.ports["rpc"], machine.ports["rpc"]],
            "listen": {"frontend": f"{LOCAL}:{machine.ports['frontend']}",
                       "readiness": f"{LOCAL}:{machine.ports['readiness']}"},
            "platform": {"address":
                         f"{LOCAL}:{self.proxies[f'platform of {name}'].port}"},
            "bounds": BOUNDS, "limits": {"memoryMb": 110},
            "faultTolerance": {"machines": 1, "zones": 0},
            "dataDir": machine.data, "bootstrap": machine.first}
        machine.first = False
        role = self.roles[machine.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill(file.read(), fields)
        text = re.sub(r'"metrics_listen": "[^"]*"',
                      f'"metrics_listen": "{LOCAL}:{machine.ports["metrics"]}"',
                      text)
        # Others reach the process through its proxy.
        text = re.sub(r'("rpc_listen": "[^"]*",)',
                      r'\1\n  "rpc_address": "%s:%d",' % (
                          LOCAL, self.proxies[f"to {name}"].port), text)
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = [path if word == "/etc/trayrock/local.toml" else word
                   for word in role["run"].split(" ")]
        machine.log = open(os.path.join(self.folder, name + ".log"), "ab")
        machine.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=machine.log, stderr=machine.log)
        self.record.line("start", process=name, pid=machine.process.pid)

    async def kill(self, name):
        machine = self.machines[name]
        if machine.process is not None and machine.process.returncode is None:
            machine.process.kill()
            await machine.process.wait()
            self.record.line("kill", process=name)

    def signal(self, name, number):
        self.machines[name].process.send_signal(number)
        self.record.line("signal", process=name, number=int(number))

    async def ready(self, name):
        try:
            answer = await call(self.machines[name].ports["readiness"], "GET",
                                "/readyz", {}, b"", 1.0)
        except OSError:
            return False
        return answer.status == 200

    async def wait_ready(self, limit=30):
        until = time.monotonic() + limit
        gateways = [m.name for m in self.machines.values() if m.role == "gateway"]
        while time.monotonic() < until:
            if all([await self.ready(each) for each in gateways]):
                return
            await asyncio.sleep(0.1)
        waiting = [each for each in gateways if not await self.ready(each)]
        ended = [m.name for m in self.machines.values()
                 if m.process is not None and m.process.returncode is not None]
        raise CannotRun(f"not ready: {waiting}; ended: {ended}")

    async def start_all(self, models=6, plain=3):
        """The small deployment, with one configuration, ready."""
        await self.start_platform()
        await self.platform.put("config", "main", configuration(3))
        for i in range(models):
            await self.add_runner(f"llm-{i + 1}", "agent-pool", ZONES[i % 3])
        for i in range(plain):
            await self.add_runner(f"app-{i + 1}", "ledger-app", ZONES[i % 3])
        for name in list(self.machines):
            await self.start(name)
        await self.wait_ready()
        self.record.line("ready")

    async def turn(self, gateway, attempt, program, previous, limit=5.5):
        """One turn of a program, as a client sends it on a new channel."""
        headers = {
            "Trayrock-Attempt-Id": attempt, "Trayrock-Program-Id": program,
            "Trayrock-Session-Id": "s-" + program, "Trayrock-Model": "m",
            "Trayrock-Program-Deadline-Ms": "9000",
            "Trayrock-Deadline-Ms": "5000", "Trayrock-Token-Budget": "1088",
            "Trayrock-Token-Usage": "1840,136"}
        if previous:
            headers["Trayrock-Previous-Turn"] = previous
        sent = self.record.now()
        answer = await call(self.machines[gateway].ports["frontend"], "POST",
                            "/chat/4b", headers, b"input of " + attempt.encode(),
                            limit)
        self.record.line("turn", sent=f"{sent:.3f}", gateway=gateway,
                         attempt=attempt, previous=previous or "-",
                         status=answer.status,
                         whole="yes" if answer.whole else "no")
        return answer

    async def turn_until_served(self, gateway, name, program, previous, limit):
        """Sends a turn anew until it is served. Returns its attempt."""
        until = self.record.now() + limit
        for number in range(100):
            attempt = f"{name}-{number}"
            answer = await self.turn(gateway, attempt, program, previous)
            if answer.status == 200 and answer.whole:
                return attempt
            if self.record.now() > until:
                break
            await asyncio.sleep(0.2)
        raise CannotRun(f"turn {name} was not served")

    def remove_folder(self):
        shutil.rmtree(self.folder, ignore_errors=True)

    async def end(self):
        for name in self.machines:
            machine = self.machines[name]
            if machine.process is not None and machine.process.returncode is None:
                try:
                    machine.process.send_signal(signal.SIGCONT)
                except ProcessLookupError:
                    pass
            await self.kill(name)


# ---- Clients ----------------------------------------------------------------


class Answer:
    """What a client saw. `status` 0: none; `whole`: complete by the protocol."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole = 0, {}, b"", False


async def call(port, method, path, headers, body, limit):
    """One request on a new connection."""
    made = Answer()

    async def exchange():
        reader, writer = await asyncio.open_connection(LOCAL, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\n"
            sent = {"Host": "ficu95.example", **headers}
            if body or method == "POST":
                sent["Content-Length"] = str(len(body))
            head += "".join(f"{k}: {v}\r\n" for k, v in sent.items()) + "\r\n"
            writer.write(head.encode("latin-1") + body)
            await writer.drain()
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            made.status = int(lines[0].split(" ")[1])
            for line in lines[1:]:
                if line:
                    name, value = line.split(":", 1)
                    made.headers[name.strip().lower()] = value.strip()
            if made.headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int((await reader.readline()).strip(), 16)
                    piece = await reader.readexactly(size + 2)
                    if size == 0:
                        made.whole = True
                        return
                    made.body += piece[:-2]
            size = int(made.headers.get("content-length", "0"))
            made.body = await reader.readexactly(size)
            made.whole = True
        finally:
            writer.close()

    try:
        await asyncio.wait_for(exchange(), limit)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError,
            ValueError):
        pass
    return made


def run_case(case, folder):
    """Runs `case(record, trouble)`, which returns True if the rule held."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def watch_delays():
        """Tells when the machine didn't let the stand-ins run."""
        while True:
            before = record.now()
            await asyncio.sleep(0.1)
            if record.now() - before > 0.6:
                record.line("held_up", seconds=f"{record.now() - before - 0.1:.1f}")

    async def run():
        watching = asyncio.create_task(watch_delays())
        try:
            held = await asyncio.wait_for(case(record, trouble), MOST_SECONDS)
        except CannotRun as why:
            record.say(f"could not run: {why}")
            return 2
        except Exception as why:  # a fault of the script itself
            traceback.print_exc()
            record.say(f"could not run: {why!r}")
            return 2
        finally:
            watching.cancel()
        record.say("the rule held" if held else "the rule was broken")
        return 0 if held else 1

    async def run_and_exit():
        code = await run()
        record.end()
        sys.stdout.flush()
        sys.stderr.flush()
        os._exit(code)  # the stand-ins' connections need no orderly end

    asyncio.run(run_and_exit())
