"""Stand-ins of the platform, of runners and of clients, and a small deployment.

All of them run in one process, on loopback addresses. Each machine of the
deployment has a loopback address of its own, as the templates of the settings
in deploy/ fix some ports. The services are separate processes, started by the
commands of deploy/system.toml with settings filled from deploy/*.json.in.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


class CannotRun(Exception):
    """The case could not be played; nothing is known of the rule."""


# ---- The record --------------------------------------------------------------


class Record:
    """Writes what was sent, answered, run and done to processes."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.began

    def write(self, what, **fields):
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")
        self.file.flush()


# ---- HTTP --------------------------------------------------------------------


class Closed(Exception):
    """The channel ended before the message was complete."""


async def read_line(reader):
    try:
        line = await reader.readline()
    except (ConnectionError, ValueError) as error:
        raise Closed from error
    if not line.endswith(b"\n"):
        raise Closed
    return line.rstrip(b"\r\n").decode("latin-1")


async def read_exactly(reader, count):
    try:
        return await reader.readexactly(count)
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        raise Closed from error


async def read_headers(reader):
    headers = {}
    while line := await read_line(reader):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await read_line(reader)).split(";")[0], 16):
            body += await read_exactly(reader, size)
            await read_line(reader)
        await read_headers(reader)
        return body
    return await read_exactly(reader, int(headers.get("content-length", "0")))


def head(start, headers):
    lines = [start] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def serve_channel(reader, writer, handle):
    """Reads requests one at a time and calls `handle(request, writer)`."""
    try:
        while True:
            first = await read_line(reader)
            method, target, _ = first.split(" ", 2)
            headers = await read_headers(reader)
            body = await read_body(reader, headers)
            if not await handle(Request(method, target, headers, body), writer):
                break
    except (Closed, ConnectionError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


async def send_whole(writer, status, headers, body):
    headers = dict(headers) | {"Content-Length": str(len(body))}
    writer.write(head(f"HTTP/1.1 {status} Answer", headers) + body)
    await writer.drain()


class Answer:
    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


class Channel:
    """A client's channel, kept for several requests."""

    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        host, port = self.address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def ask(self, method, target, headers, body=b"", timeout=10.0):
        """Status 0: the channel ended without a whole head."""
        try:
            return await asyncio.wait_for(
                self._ask(method, target, headers, body), timeout
            )
        except (asyncio.TimeoutError, OSError):
            self.close()
            return Answer()

    async def _ask(self, method, target, headers, body):
        if self.writer is None:
            await self.open()
        sent = dict(headers)
        if body or method == "POST":
            sent["Content-Length"] = str(len(body))
        self.writer.write(head(f"{method} {target} HTTP/1.1", sent) + body)
        answer = Answer()
        try:
            await self.writer.drain()
            answer.status = int((await read_line(self.reader)).split(" ")[1])
            answer.headers = await read_headers(self.reader)
            answer.body = await read_body(self.reader, answer.headers)
            answer.complete = True
        except (Closed, ConnectionError):
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer


async def ask_once(address, method, target, headers, body=b"", timeout=10.0):
    channel = Channel(address)
    answer = await channel.ask(method, target, headers, body, timeout)
    channel.close()
    return answer


# ---- The platform's store ----------------------------------------------------


class Platform:
    """The platform's metadata store: lists, watches and conditional writes."""

    def __init__(self):
        self.revision = 1
        self.objects = {}
        self.changes = []
        self.changed = asyncio.Event()

    async def handle(self, request, writer):
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        path = [urllib.parse.unquote(each) for each in parts.path.split("/")[2:]]
        body = json.loads(request.body) if request.body else {}
        kind, name = path[0], path[1] if len(path) > 1 else ""
        if request.method == "GET" and name:
            found = self.objects.get(kind, {}).get(name)
            answer = (200, found) if found else (404, {})
        elif request.method == "GET" and "watch" in query:
            answer = await self.watch(kind, query)
        elif request.method == "GET":
            answer = self.list(kind, query.get("after", ""))
        elif request.method == "DELETE":
            self.remove(kind, name)
            answer = (200, {})
        else:
            part = "status" if len(path) > 2 else "spec"
            answer = self.write(request.method, kind, name, part, body)
        status, made = answer
        headers = {"Content-Type": "application/json"}
        await send_whole(writer, status, headers, json.dumps(made).encode())
        return True

    def list(self, kind, after):
        page = 500
        names = sorted(each for each in self.objects.get(kind, {}) if each > after)
        items = [self.objects[kind][each] for each in names[:page]]
        return 200, {
            "items": items,
            "truncated": len(names) > page,
            "asOf": self.revision,
        }

    async def watch(self, kind, query):
        after = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                {"object": each[2], "removed": each[3]}
                for each in self.changes
                if each[0] > after and each[1] == kind
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def note(self, kind, made, removed):
        self.changes.append((self.revision, kind, made, removed))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def remove(self, kind, name):
        held = self.objects.get(kind, {}).pop(name, None)
        if held is not None:
            self.revision += 1
            self.note(kind, held, True)

    def write(self, method, kind, name, part, body):
        metadata = body.get("metadata", {})
        held = self.objects.setdefault(kind, {})
        if method == "POST":
            name = metadata["name"]
            if name in held:
                return 409, held[name]
            current = {"metadata": {}, "spec": None, "status": None}
        elif name not in held:
            return 404, {}
        else:
            current = held[name]
            expected = metadata.get("revision")
            if expected is not None and expected != current["metadata"]["revision"]:
                return 409, current
            if current[part] == body.get(part):
                return 200, current
        made = dict(current)
        made[part] = body.get(part)
        self.revision += 1
        made["metadata"] = {
            "name": name,
            "revision": self.revision,
            "created": current["metadata"].get("created", self.revision),
            "finalizers": [],
            "deleting": False,
        }
        held[name] = made
        self.note(kind, made, False)
        return (201 if method == "POST" else 200), made

    def put(self, kind, name, spec):
        """A write of the operator's or of a runner's."""
        exists = name in self.objects.get(kind, {})
        body = {"metadata": {"name": name}, "spec": spec}
        return self.write("PUT" if exists else "POST", kind, name, "spec", body)


class Way:
    """A machine's way to the platform's store, which may fall silent."""

    def __init__(self, platform):
        self.platform = platform
        self.silent = False
        self.watched_at = {}  # by kind: when the last watch came

    async def handle(self, request, writer):
        while self.silent:
            await asyncio.sleep(0.05)
        if "watch=" in request.target:
            kind = request.target.split("?")[0].split("/")[2]
            self.watched_at[kind] = time.monotonic()
        held = SilentWriter(self, writer)
        return await self.platform.handle(request, held)


class SilentWriter:
    """Answers that fall into the silence are lost, and so is their channel."""

    def __init__(self, way, writer):
        self.way = way
        self.writer = writer
        self.lost = False

    def write(self, data):
        self.lost = self.lost or self.way.silent
        if not self.lost:
            self.writer.write(data)

    async def drain(self):
        if not self.lost:
            await self.writer.drain()
            return
        while self.way.silent:
            await asyncio.sleep(0.05)
        raise Closed


# ---- Runners -----------------------------------------------------------------


class Run:
    """One run of a request at a runner."""

    def __init__(self, runner, request, at):
        self.attempt = request.headers["trayrock-attempt-id"]
        self.runner = runner
        self.body = request.body
        self.headers = request.headers
        self.at = at
        self.events = []


class Runner:
    """Answers streams by events and other requests by one body."""

    def __init__(self, name, service, record, runs, events=3, pause=0.02, work=0.0):
        self.id = name
        self.service = service
        self.record = record
        self.runs = runs
        self.events = events
        self.pause = pause
        self.work = work
        self.address = ""

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-1",
            "version": "1",
            "capacity": 64,
            "phase": "ready",
            "coldLeftMs": 0,
            "callSeq": 0,
        }

    async def handle(self, request, writer):
        headers = {"Trayrock-Attempt-Id": request.headers.get("trayrock-attempt-id", "")}
        if request.target == "/healthz":
            await send_whole(writer, 200, {"Trayrock-Instance-Id": self.id}, b"")
            return True
        if request.target.startswith("/report"):
            report = {"stage": "both", "models": [], "busy": False, "callSeq": 0}
            await send_whole(writer, 200, {}, json.dumps(report).encode())
            return True
        refused = headers | {"Trayrock-Not-Executed": "1"}
        if request.headers.get("trayrock-expect-instance", self.id) != self.id:
            await send_whole(writer, 421, refused, b"")
            return True
        if not headers["Trayrock-Attempt-Id"]:
            await send_whole(writer, 400, refused, b"")
            return True
        run = Run(self.id, request, time.monotonic())
        self.runs.append(run)
        self.record.write(
            "run", runner=self.id, attempt=run.attempt, body_bytes=len(run.body)
        )
        if "/stream/" in request.target:
            await self.send_stream(run, headers, writer)
        else:
            await asyncio.sleep(self.work)
            body = f"answer to {run.attempt}".encode()
            headers["Trayrock-Response-Seal"] = f"seal.{self.id}.{run.attempt}"
            await send_whole(writer, 200, headers, body)
        return True

    async def send_stream(self, run, headers, writer):
        headers["Trayrock-Response-Seal"] = f"seal.{self.id}.{run.attempt}"
        headers["Content-Type"] = "text/event-stream"
        headers["Transfer-Encoding"] = "chunked"
        writer.write(head("HTTP/1.1 200 OK", headers))
        for number in range(1, self.events + 1):
            data = f"{run.attempt}-{number}"
            event = f"id: {number}\ndata: {data}\n\n".encode()
            run.events.append(data)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# ---- The deployment ----------------------------------------------------------


def fill(template, fields):
    """Fills a template of deploy/ as the pages tell it (what it uses of that)."""

    def lookup(path):
        found = fields
        for key in path.split("."):
            if isinstance(found, list):
                found = found[int(key)]
            else:
                found = found.get(key) if isinstance(found, dict) else None
            if found is None:
                return None
        return found

    def block(match):
        value = lookup(match.group(1))
        return match.group(2) if value or value == 0 and value is not False else ""

    def gap(match):
        value = lookup(match.group(1))
        if value is None:
            return ""
        return str(value).lower() if isinstance(value, bool) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", block, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


BOUNDS = {
    "contactMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "recoverS": 12,
}


class Machine:
    """One machine of the deployment and the process on it."""

    def __init__(self, deployment, name, role, ip, zone):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.data = os.path.join(deployment.folder, name + ".data")
        self.settings = os.path.join(deployment.folder, name + ".json")
        self.log = os.path.join(deployment.folder, name + ".log")

    @property
    def frontend(self):
        return self.ip + ":8149"

    @property
    def readiness(self):
        return self.ip + ":8141"

    def fields(self, bootstrap):
        return {
            "nodeName": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "portRange": [7380, 7395],
            "listen": {"frontend": self.frontend, "readiness": self.readiness},
            "platform": {"address": self.deployment.platform_of(self)},
            "bounds": self.deployment.bounds,
            "limits": {"memoryMb": 120},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "dataDir": self.data,
            "bootstrap": bootstrap,
        }

    def start(self, bootstrap=False):
        role = self.deployment.roles[self.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill(file.read(), self.fields(bootstrap))
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        words = [
            self.settings if each.startswith("/etc/") else each
            for each in role["run"].split()
        ]
        words[0] = os.path.join(ROOT, words[0])
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.deployment.record.write("start", machine=self.name)

    def signal(self, number):
        self.deployment.record.write(
            "signal", machine=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    async def kill(self):
        """SIGKILL; returns once the process is gone."""
        self.signal(signal.SIGKILL)
        while self.process.poll() is None:
            await asyncio.sleep(0.005)

    async def metric(self, name):
        """The value of a metric without labels; None: there is none."""
        answer = await ask_once(self.ip + ":9464", "GET", "/metrics", {}, timeout=2)
        for line in answer.body.decode().splitlines():
            key, _, value = line.rpartition(" ")
            if key == name or key == "trayrock_" + name:
                return float(value)
        return None


class Deployment:
    def __init__(self, record, bounds=None):
        self.record = record
        self.bounds = BOUNDS | (bounds or {})
        self.folder = tempfile.mkdtemp(prefix="trayrock-review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        for role in self.roles.values():
            program = os.path.join(ROOT, role["run"].split()[0])
            if not os.access(program, os.X_OK):
                raise CannotRun(f"{role['run'].split()[0]} is not built")
        self.net = self.free_net()
        self.next_ip = 10
        self.machines = {}
        self.platform = Platform()
        self.platform_address = ""
        self.platform_ways = {}  # by machine, where it has a way of its own
        self.runners = {}
        self.runs = []
        self.servers = []

    @staticmethod
    def free_net():
        ports = [8149, 8141, 7380, 7381, 9464, 9465]
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}."
            try:
                for last in range(10, 30):
                    for port in ports:
                        with socket.socket() as probe:
                            probe.bind((net + str(last), port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def take_ip(self):
        self.next_ip += 1
        return self.net + str(self.next_ip)

    def platform_of(self, machine):
        return self.platform_ways.get(machine.name, self.platform_address)

    async def listen(self, handle):
        async def accept(reader, writer):
            await serve_channel(reader, writer, handle)

        server = await asyncio.start_server(accept, self.net + "9", 0, backlog=512)
        self.servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def begin(self):
        self.platform_address = await self.listen(self.platform.handle)

    def add_machine(self, name, role, zone):
        self.machines[name] = Machine(self, name, role, self.take_ip(), zone)
        return self.machines[name]

    async def add_way(self, machine):
        """Gives the machine a way to the platform that can be made silent."""
        way = Way(self.platform)
        self.platform_ways[machine.name] = await self.listen(way.handle)
        return way

    async def add_runner(self, name, service, **options):
        runner = Runner(name, service, self.record, self.runs, **options)
        runner.address = await self.listen(runner.handle)
        self.runners[name] = runner
        self.platform.put("servers", name, runner.entry())
        return runner

    def configure(self, version, routes, services):
        spec = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.platform.put("config", "main", spec)
        self.record.write("configuration", version=version)

    async def is_ready(self, machine):
        answer = await ask_once(machine.readiness, "GET", "/readyz", {}, timeout=1.0)
        return answer.status == 200

    async def wait_ready(self, machine, seconds=20.0):
        until = time.monotonic() + seconds
        while not await self.is_ready(machine):
            if time.monotonic() > until:
                raise CannotRun(f"{machine.name} is not ready")
            await asyncio.sleep(0.05)
        self.record.write("ready", machine=machine.name)

    async def wait_for(self, what, condition, seconds):
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise CannotRun(f"not seen in time: {what}")
            await asyncio.sleep(0.02)
        self.record.write("seen", event=what.replace(" ", "_"))

    def end(self):
        for server in self.servers:
            server.close()
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def route(prefix, service, kind, **more):
    made = {
        "name": prefix.strip("/"),
        "host": "review.example",
        "pathPrefix": prefix,
        "type": kind,
        "service": service,
        "timeoutMs": 5000,
        "sloMs": 400,
        "priority": 1,
        "attempts": 2,
    }
    return made | more


def play(case, folder):
    """Runs `case(deployment, record, trouble)`; returns the exit code."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write("begin", trouble=int(trouble))

    async def run():
        deployment = Deployment(record, getattr(case, "bounds", None))
        try:
            await deployment.begin()
            return await asyncio.wait_for(case(deployment, record, trouble), 112)
        finally:
            deployment.end()

    try:
        broken = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.write("could_not_run", why=repr(error).replace(" ", "_"))
        print(f"the case could not run: {error!r}")
        return 2
    for each in broken:
        record.write("broken", rule=each.replace(" ", "_"))
        print("broken: " + each)
    record.write("end", held=int(not broken))
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
