"""Stand-ins for a site: clients, cache servers, the origin, discovery and the platform, on loopback addresses.

Written from the operators' pages. A stand-in behaves like a sound server, client or platform unless a case replaces one
of its methods. Nothing here depends on the kind of machine; only Python's standard library is used.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Exit codes of a case.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    """The case could not be played: this says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def bulk(data):
    return b"$%d\r\n%s\r\n" % (len(data), data)


def command(*words):
    words = [w if isinstance(w, bytes) else str(w).encode() for w in words]
    return b"*%d\r\n" % len(words) + b"".join(bulk(w) for w in words)


async def read_line(reader):
    line = await reader.readline()
    if not line.endswith(b"\r\n"):
        raise ConnectionError("the connection has ended")
    return line[:-2]


async def read_command(reader):
    """One command of RESP2: a list of words."""
    head = await read_line(reader)
    if not head.startswith(b"*"):
        raise ConnectionError(f"not a command: {head[:40]!r}")
    words = []
    for _ in range(int(head[1:])):
        length = int((await read_line(reader))[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_http(reader):
    """One HTTP message: its first line, its headers, its body."""
    first = (await read_line(reader)).decode()
    headers = {}
    while line := (await read_line(reader)).decode():
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


def http(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def figures(words):
    """The list of names and values of a request."""
    return dict(part.split("=", 1) for part in words[3].decode().split(","))


class Server:
    """A TCP server on a free port of a loopback address."""

    def __init__(self, host="127.0.0.1"):
        self.host, self.server, self.writers = host, None, set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.host, port, limit=8 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.connection(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Cache(Server):
    """A cache server: it stores, and answers in the order of the commands."""

    def __init__(self, site, name, host="127.0.0.1"):
        super().__init__(host)
        self.site, self.name, self.store, self.ran = site, name, {}, []

    async def connection(self, reader, writer):
        while True:
            words = await read_command(reader)
            if words[0].upper() in (b"CLIENT", b"SELECT"):
                writer.write(b"+OK\r\n")
            elif words[0] in (b"CACHE.GET", b"CACHE.SET"):
                self.site.record(f"{self.name} got {words[0].decode()} {words[1].decode()} id={words[2].decode()} {words[3].decode()}")
                self.ran.append((self.site.record.now(), words[2].decode(), words))
                await self.answer(words, reader, writer)
            else:
                writer.write(b"-ERR unknown command\r\n")
            await writer.drain()

    async def answer(self, words, reader, writer):
        value = self.store.get(words[1]) if words[0] == b"CACHE.GET" else None
        if value is None:
            self.site.missed.setdefault(words[2], []).append(self)
            writer.write(b"*3\r\n$-1\r\n" + bulk(b"miss") + b"$-1\r\n")
        else:
            writer.write(b"*3\r\n" + bulk(value) + bulk(b"hit") + b"$-1\r\n")


class SlowCache(Cache):
    """A cache server that gives large values in small pieces, with a pause between them."""

    pause = 0.1

    async def answer(self, words, reader, writer):
        value = self.store.get(words[1]) if words[0] == b"CACHE.GET" else None
        if value is None or len(value) <= 65536:
            return await super().answer(words, reader, writer)
        writer.write(b"*3\r\n$%d\r\n" % len(value))
        for at in range(0, len(value), 16384):
            writer.write(value[at:at + 16384])
            await writer.drain()
            await asyncio.sleep(self.pause)
        writer.write(b"\r\n" + bulk(b"hit") + b"$-1\r\n")
        self.site.record(f"{self.name} has given all of {words[1].decode()}")


class Origin(Server):
    """The origin: it serves reads, and runs each write that reaches it."""

    def __init__(self, site, host="127.0.0.1"):
        super().__init__(host)
        self.site, self.values, self.ran, self.delay = site, {}, [], 0.05

    async def connection(self, reader, writer):
        while True:
            first, headers, body = await read_http(reader)
            method, path, _ = first.split(" ")
            if path.startswith("/-/"):
                writer.write(http("200 OK"))
                await writer.drain()
                continue
            request = headers.get("x-request-id", "")
            self.site.record(f"origin got {method} {path} id={request} {headers.get('x-extras', '')}")
            self.ran.append((self.site.record.now(), request, method, path, headers.get("x-extras", "")))
            await self.answer(method, path[1:], request, body, reader, writer)

    def value_of(self, key):
        return self.values.get(key, b"value-of-" + key.encode())

    async def answer(self, method, key, request, body, reader, writer):
        await asyncio.sleep(self.delay)
        value = b"receipt-" + request.encode()
        if method == "PUT":
            for cache in self.site.caches:
                cache.store.pop(key.encode(), None)
        else:
            value = self.value_of(key)
            for cache in self.site.missed.pop(request.encode(), [])[:2]:
                cache.store[key.encode()] = value
        writer.write(http("200 OK", value))
        await writer.drain()


class Discovery(Server):
    """Discovery: the whole list, and watches."""

    def __init__(self, site, host="127.0.0.1"):
        super().__init__(host)
        self.site, self.changed = site, asyncio.Event()

    async def connection(self, reader, writer):
        while True:
            first, _, _ = await read_http(reader)
            path = first.split(" ")[1]
            self.site.record(f"discovery {self.port} asked {path}")
            await self.answer(path, writer)

    async def answer(self, path, writer):
        site, query = self.site, dict(p.split("=") for p in path.partition("?")[2].split("&") if p)
        if "after" not in query:
            return await self.give(writer, True, list(site.members.values()))
        after, until = int(query["after"]), time.monotonic() + min(int(query["wait_ms"]), 60000) / 1000
        while site.revision <= after and (left := until - time.monotonic()) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        await self.give(writer, False, [m for at, m in site.changes if at > after])

    async def give(self, writer, complete, members):
        body = json.dumps({"revision": self.site.revision, "complete": complete, "members": members}).encode()
        writer.write(http("200 OK", body))
        await writer.drain()
        told = ", ".join(f"{m['id']} {m['phase']}" for m in members)
        self.site.record(f"discovery {self.port} told revision {self.site.revision}: {told or 'nothing'}")


SETTINGS = {
    "balancers": 2,
    "classes": [
        {"deadlineUs": 2500000, "dedupScope": "all", "dedupWindowUs": 5000000, "effect": "pure", "gain": 1.0,
         "goalTimeUs": 750000, "lateValue": 0.0, "name": "series-read", "streamed": False},
        {"deadlineUs": 6000000, "dedupScope": "all", "dedupWindowUs": 12000000, "effect": "token", "gain": 5.0,
         "goalTimeUs": 2500000, "lateValue": 0.0, "name": "correction", "streamed": False}],
    "clientHabits": {"marksRetry": True}, "countedBy": "request", "discovery": "ask", "family": "cache",
    "goal": {"whole": 0.45, "worstClass": 0.3, "worstTenant": 0.1, "worstWindow": 0.15},
    "guarantees": {"askWithinUs": 10000000, "coldShare": 0.3, "coldUs": 8700000, "drainGraceUs": 1000000,
                   "fallMultiple": 3.0, "graceToAnswerUs": 20000, "tipAfterUs": 3000000},
    "limits": {"connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 15000, "idleCloseUs": 60000000,
               "maxAttempts": 6, "maxOpen": 20000, "maxRetryAfterUs": 2000000, "mayCancel": True,
               "mayDuplicate": True, "multiplex": 32, "peers": True, "probes": False, "retryAfter": True},
    "machineTypes": ["box-full", "box-slow", "origin"], "me": 0, "overShareWorth": 0.05, "periodUs": 5000,
    "prices": {"connection": 0.0, "crossZone": 0.02, "discovery": 0.01, "handshake": 0.0, "lateFail": 0.08,
               "moves": 0.0, "origin": 0.1, "peer": 0.01, "probe": 0.0, "waste": 0.05},
    "realms": [{"fraction": 0.6, "name": "agua-estado", "quotaPerS": 200.0},
               {"fraction": 0.4, "name": "coop-sertao", "quotaPerS": 146.0}],
    "report": {"fields": [], "via": "silent"},
    "specifics": {"mode": "aside", "notes": "", "originFallMultiple": 0.0, "originFallUs": 3000000, "originKind": 2,
                  "reportX0": "", "reportX1": ""},
    "stage": 0, "tiers": ["cache-series"], "weightSource": "silent", "zone": 0, "zones": ["recife", "fortaleza"]}


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def deploy_line(key):
    """A command of the deploy file."""
    for line in (ROOT / "deploy/balancer.toml").read_text().splitlines():
        name, _, value = line.partition(" = ")
        if name == key:
            return json.loads(value)
    raise CouldNotRun(f"the deploy file has no {key}")


class Node:
    """One node, started as the platform starts it."""

    def __init__(self, site, index=0, listener=None):
        self.site, self.index, self.listener = site, index, listener
        self.port = listener.getsockname()[1] if listener else free_port()
        self.ops, self.process = free_port(), None

    @property
    def name(self):
        return f"n{self.index}"

    def configure(self):
        site = self.site
        settings = json.loads(json.dumps(site.settings))
        settings["me"], settings["balancers"] = self.index, len(site.peers)
        config = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "discovery": site.discovery.address,
            "seed": os.urandom(8).hex(), "limits": site.limits, "ops": f"127.0.0.1:{self.ops}",
            "peer_listen": site.peers[self.index], "peers": site.peers,
            "known": {"revision": site.revision, "complete": True, "members": list(site.members.values())},
            "settings": settings}
        self.config_path = site.folder / f"{self.name}.json"
        written = self.config_path.with_suffix(".new")
        written.write_text(json.dumps(config))
        written.replace(self.config_path)
        return config

    async def start(self, label="", ready=True):
        config = self.configure()
        tmp = self.site.folder / f"tmp-{self.name}"
        tmp.mkdir(exist_ok=True)
        env = dict(os.environ, ROUTER_NAME=self.name, ROUTER_LISTEN=config["listen"],
                   ROUTER_DISCOVERY=config["discovery"], ROUTER_CONFIG=str(self.config_path),
                   ROUTER_OPS=config["ops"], TMPDIR=str(tmp))
        run, kept = deploy_line("run"), ()
        program = ("/bin/sh", "-c", run)
        if self.listener:
            # The platform holds the listening socket; every process inherits it as descriptor 4.
            env["ROUTER_SOCKET_FD"], kept = "4", (self.listener.fileno(),)
            held = f"import os; os.dup2({self.listener.fileno()}, 4); os.execv('/bin/sh', ['/bin/sh', '-c', {run!r}])"
            program = (sys.executable, "-c", held)
        self.log = open(self.site.folder / f"{self.name}{label}.log", "wb")
        self.process = await asyncio.create_subprocess_exec(
            *program, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, pass_fds=kept)
        self.site.processes.append(self.process)
        self.site.record(f"{self.name}{label} started as process {self.process.pid}")
        if ready:
            await self.wait_until_ready()

    async def wait_until_ready(self):
        end = time.monotonic() + 10
        while time.monotonic() < end:
            try:
                if (await self.call("GET", "/ready")).startswith("HTTP/1.1 2"):
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} is not ready: {self.log_text()[-500:]}")

    async def call(self, method, path):
        """A call at the second address; returns the whole answer."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ops)
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
        answer = (await asyncio.wait_for(reader.read(), 5)).decode()
        writer.close()
        return answer

    def signal(self, number):
        self.site.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def log_text(self):
        self.log.flush()
        return pathlib.Path(self.log.name).read_text(errors="replace")

    async def client(self):
        return await Client(self.site, self.port).connect()


class Client:
    """One connection of a client."""

    def __init__(self, site, port):
        self.site, self.port = site, port

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=8 << 20)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self

    def send(self, words):
        self.writer.write(command(*words))

    async def answer(self):
        """The next answer: ('served', value), ('refused', line), ('failed', line) or ('none', why)."""
        try:
            line = await read_line(self.reader)
            if line.startswith(b"$") and line != b"$-1":
                value = await self.reader.readexactly(int(line[1:]) + 2)
                return ("served", value[:-2]) if value.endswith(b"\r\n") else ("failed", b"a spoilt value")
            return ("refused", line) if line.startswith(b"-BUSY") else ("failed", line)
        except (OSError, ConnectionError, asyncio.IncompleteReadError) as e:
            return "none", repr(e)

    async def ask(self, words, within=None):
        self.send(words)
        try:
            return await asyncio.wait_for(self.answer(), within)
        except asyncio.TimeoutError:
            return "none", f"no answer within {within} s"

    def close(self):
        self.writer.close()


def get(key, d=2000, c="series-read", **more):
    """A read with a new id."""
    extras = ",".join([f"c={c}", "t=agua-estado", f"d={d}", *(f"{k}={v}" for k, v in more.items())])
    return ["CACHE.GET", key, os.urandom(8).hex(), extras]


def put(key, value, d=5000, c="correction", **more):
    """A write with a new id and a new idempotency key."""
    more.setdefault("k", os.urandom(8).hex())
    extras = ",".join([f"c={c}", "t=agua-estado", f"d={d}", *(f"{k}={v}" for k, v in more.items())])
    return ["CACHE.SET", key, os.urandom(8).hex(), extras, value]


class Site:
    """A small deployment: cache servers, the origin, discovery, and the list that it holds."""

    def __init__(self, record, caches=3, nodes=2, cache=Cache, **settings):
        self.record, self.settings = record, json.loads(json.dumps(SETTINGS))
        self.settings.update(settings)
        self.limits = {"cores": 1.0, "memory_mb": 48, "sockets": 384}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes, self.missed = [], {}
        self.members, self.changes, self.revision = {}, [], 40
        self.peers = [f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(nodes)]
        self.caches = [cache(self, f"s-{i}") for i in range(caches)]
        self.origin, self.discovery = Origin(self), Discovery(self)
        self.nodes = [Node(self, i) for i in range(nodes)]

    async def start(self):
        for i, cache in enumerate(self.caches):
            await cache.start()
            self.set_member(cache.name, cache.address, "box-full" if i % 2 else "box-slow")
        await self.origin.start()
        self.set_member("origin-0", self.origin.address, "origin")
        self.changes.clear()
        await self.discovery.start()
        return self

    def set_member(self, name, address, flavor="box-full", phase="ready", up_since_ms=0):
        self.revision += 1
        entry = {"id": name, "host_port": address, "locality": "recife", "flavor": flavor, "cell": 0, "phase": phase,
                 "size": 1.0, "up_since_ms": up_since_ms}
        self.changes.append((self.revision, entry))
        self.members[name] = entry
        if phase == "gone":
            del self.members[name]
        self.record(f"the list has {name} {phase} from revision {self.revision} on")
        self.discovery.changed.set()

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case, folder, limit=110):
    """Plays a case: `case(record)` returns what broke the rule, or nothing. Ends with the exit code."""
    record = Record(pathlib.Path(folder) / "record.txt")
    record(f"{'with' if TROUBLE else 'without'} the disruption")
    program = deploy_line("run").split()[-1]
    if not (ROOT / program).exists():
        record(f"{program} is not built")
        sys.exit(COULD_NOT_RUN)

    def end(code, *lines):
        for line in lines:
            record(line)
            print(line, flush=True)
        record.file.close()
        os._exit(code)  # Tasks of stand-ins that still wait for something are not waited for.

    async def main():
        try:
            broken = await asyncio.wait_for(case(record), limit)
        except (CouldNotRun, asyncio.TimeoutError, OSError) as e:
            end(COULD_NOT_RUN, f"could not run: {e!r}")
        except BaseException:
            traceback.print_exc()
            end(COULD_NOT_RUN, f"could not run: {traceback.format_exc(limit=-2)}")
        end(BROKEN if broken else HELD, *([f"broken: {line}" for line in broken] or ["held"]))

    asyncio.run(main())
