"""Stand-ins for the cases of this review: cache servers, the origin, discovery and a client, on loopback addresses.

They speak the protocol of the operators' pages: RESP2 with clients and cache servers, HTTP/1.1 with the origin and with
discovery. A node is the project's own program, started with the `run` line of the deploy file. Only the standard library
of Python is used.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Exit codes of a case; run.sh turns BROKEN into 1, and whatever is not named here into 2.
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2


class CouldNotRun(Exception):
    """The case can't be judged: something beside the rule went wrong."""


class Record:
    """The file `record.txt`: one line for each thing that was sent, answered or run, with the time in seconds."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, text):
        self.file.write(f"{self.now():9.4f}  {who:<10} {text}\n")
        self.file.flush()


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    with socket.socket(socket.AF_INET, kind) as s:
        s.bind((host, 0))
        return s.getsockname()[1]


# ---------------------------------------------------------------------------------------------------------------- RESP


def command(*words):
    out = [b"*%d\r\n" % len(words)]
    for word in words:
        word = word.encode() if isinstance(word, str) else word
        out.append(b"$%d\r\n%s\r\n" % (len(word), word))
    return b"".join(out)


def bulk(value):
    return b"$-1\r\n" if value is None else b"$%d\r\n%s\r\n" % (len(value), value)


async def read_frame(reader):
    """One RESP2 frame: bytes for a bulk string, None for null, a list for an array, ('-', text) or ('+', text)."""
    line = await reader.readuntil(b"\r\n")
    kind, rest = line[:1], line[1:-2]
    if kind in (b"+", b"-", b":"):
        return (kind.decode(), rest.decode("utf-8", "replace"))
    number = int(rest)
    if number < 0:
        return None
    if kind == b"$":
        return (await reader.readexactly(number + 2))[:-2]
    if kind == b"*":
        return [await read_frame(reader) for _ in range(number)]
    raise ValueError(f"not RESP2: {line!r}")


def extras_of(text):
    return dict(part.split("=", 1) for part in text.split(","))


# ------------------------------------------------------------------------------------------------------------- servers


class CacheServer:
    """A cache server that answers the requests of a connection in their order, and begins each as it arrives.

    `answer(server, request)` is a coroutine that returns the bytes of the answer. It may return a list of
    (delay in seconds, bytes) instead: pieces that are written one after another.
    """

    def __init__(self, record, name, answer):
        self.record, self.name, self.answer = record, name, answer
        self.requests, self.address, self.connections = [], None, 0

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=8 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        queue = asyncio.Queue()
        sender = asyncio.create_task(self.send(queue, writer, number))
        try:
            while True:
                words = await read_frame(reader)
                queue.put_nowait((words, asyncio.create_task(self.begin(words, number, writer))))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.record.write(self.name, f"connection {number} ended by the node")
            sender.cancel()
            while not queue.empty():
                queue.get_nowait()[1].cancel()
            writer.close()

    async def begin(self, words, number, writer):
        name = words[0].decode()
        if name not in ("CACHE.GET", "CACHE.SET"):
            self.record.write(self.name, f"connection {number}: received {name}")
            return b"+OK\r\n" if name in ("CLIENT", "SELECT") else b"-ERR unknown command\r\n"
        key, rid, extras = (w.decode() for w in words[1:4])
        request = {
            "name": name,
            "key": key,
            "id": rid,
            "extras": extras_of(extras),
            "at": self.record.now(),
            "connection": number,
            "writer": writer,
            "value": words[4] if len(words) > 4 else None,
        }
        self.requests.append(request)
        self.record.write(self.name, f"connection {number}: received {name} {key} {rid} {extras}")
        return await self.answer(self, request)

    async def send(self, queue, writer, number):
        while True:
            words, task = await queue.get()
            try:
                answer = await task
                if isinstance(answer, bytes):
                    answer = [(0, answer)]
                for delay, piece in answer:
                    if delay:
                        await asyncio.sleep(delay)
                    writer.write(piece)
                    await writer.drain()
                what = words[2].decode() if len(words) > 2 else words[0].decode()
                size = sum(len(piece) for _, piece in answer)
                self.record.write(self.name, f"connection {number}: answered {what}, {size} bytes")
            except ConnectionError:
                self.record.write(self.name, f"connection {number}: broken under an answer")
                return


class Origin:
    """The origin. `answer(request)` returns (status, headers, body) after as long as it likes."""

    def __init__(self, record, answer):
        self.record, self.answer = record, answer
        self.requests, self.address = [], None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0, limit=8 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                method, path, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                request = {
                    "method": method,
                    "key": path[1:],
                    "id": headers.get("x-request-id", ""),
                    "extras": extras_of(headers["x-extras"]) if "x-extras" in headers else {},
                    "at": self.record.now(),
                    "body": body,
                }
                if path.startswith("/-/"):
                    writer.write(http(200, {}, b""))
                    continue
                self.requests.append(request)
                self.record.write("origin", f"received {method} {path} {request['id']}")
                status, extra, answer = await self.answer(request)
                writer.write(http(status, extra, answer))
                await writer.drain()
                self.record.write("origin", f"answered {request['id']}: {status}, {len(answer)} bytes")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = dict(line.split(":", 1) for line in lines[1:] if ":" in line)
    return method, path, {k.lower(): v.strip() for k, v in headers.items()}


def http(status, headers, body):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return head.encode() + b"\r\n" + body


class Discovery:
    """Discovery: the whole list, and a watch that waits until something newer exists."""

    def __init__(self, record, members):
        self.record, self.members, self.revision = record, members, 41
        self.changes, self.changed, self.address = [], asyncio.Event(), None

    async def start(self, host="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def change(self, member, **changed):
        """Changes an entry; every node that asks is told."""
        member.update(changed)
        self.revision += 1
        self.changes.append((self.revision, dict(member)))
        self.changed.set()
        self.changed = asyncio.Event()
        self.record.write("discovery", f"revision {self.revision}: {member['id']} {changed}")

    async def serve(self, reader, writer):
        try:
            while True:
                _, path, _ = await read_head(reader)
                query = dict(p.split("=") for p in path.partition("?")[2].split("&") if "=" in p)
                if "after" in query:
                    after, wait = int(query["after"]), int(query.get("wait_ms", "0")) / 1000
                    until = time.monotonic() + wait
                    while self.revision <= after and time.monotonic() < until:
                        try:
                            await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                        except asyncio.TimeoutError:
                            break
                    members = {m["id"]: m for revision, m in self.changes if revision > after}
                    answer = {"revision": self.revision, "complete": False, "members": list(members.values())}
                else:
                    answer = self.whole()
                writer.write(http(200, {"Content-Type": "application/json"}, json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


# ---------------------------------------------------------------------------------------------------------------- site


def settings(**changed):
    """Settings of a small deployment: two nodes, some cache servers, one origin, two classes, two tenants.

    Deadlines, aims, limits and guarantees are of the size that the operators' pages give for theirs.
    """
    out = {
        "balancers": 2,
        "me": 0,
        "classes": [
            {
                "name": "read", "effect": "pure", "dedupScope": "all", "dedupWindowUs": 5000000, "gain": 1.0,
                "goalTimeUs": 750000, "deadlineUs": 2500000, "lateValue": 0.0, "streamed": False,
            },
            {
                "name": "write", "effect": "token", "dedupScope": "all", "dedupWindowUs": 12000000, "gain": 5.0,
                "goalTimeUs": 2500000, "deadlineUs": 6000000, "lateValue": 0.0, "streamed": False,
            },
        ],
        "clientHabits": {"marksRetry": True},
        "countedBy": "request",
        "discovery": "ask",
        "family": "cache",
        "guarantees": {
            "askWithinUs": 10000000, "coldShare": 0.3, "coldUs": 8700000, "drainGraceUs": 1000000,
            "fallMultiple": 3.0, "graceToAnswerUs": 20000, "tipAfterUs": 3000000,
        },
        "limits": {
            "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 15000, "idleCloseUs": 60000000,
            "maxAttempts": 6, "maxOpen": 20000, "maxRetryAfterUs": 2000000, "mayCancel": True, "mayDuplicate": True,
            "multiplex": 32, "peers": True, "probes": False, "retryAfter": True,
        },
        "machineTypes": ["box-a", "box-b", "origin"],
        "overShareWorth": 0.05,
        "periodUs": 5000,
        "realms": [
            {"name": "north", "fraction": 0.5, "quotaPerS": 170.0},
            {"name": "south", "fraction": 0.5, "quotaPerS": 170.0},
        ],
        "report": {"fields": [], "via": "silent"},
        "specifics": {"mode": "aside", "originFallMultiple": 0.0, "originFallUs": 3000000, "originKind": 2},
        "stage": 0,
        "tiers": ["cache"],
        "weightSource": "silent",
        "zone": 0,
        "zones": ["east"],
    }
    out.update(changed)
    return out


def member(name, address, kind, **changed):
    out = {
        "id": name, "host_port": address, "locality": "east", "flavor": kind, "cell": 0, "phase": "ready",
        "size": 1.0, "up_since_ms": 0,
    }
    out.update(changed)
    return out


class Node:
    """A node: the program that the deploy file names, with a configuration of its own."""

    def __init__(self, record, folder, name, config):
        self.record, self.folder, self.name, self.config = record, folder, name, config
        self.process, self.log_path = None, os.path.join(folder, name + ".log")
        self.config_path = os.path.join(folder, name + ".json")

    def write_config(self):
        with open(self.config_path + ".new", "w", encoding="utf-8") as f:
            json.dump(self.config, f)
        os.replace(self.config_path + ".new", self.config_path)

    def start(self, **environment):
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as f:
            run = tomllib.load(f)["run"]
        self.write_config()
        private = os.path.join(self.folder, self.name + ".tmp")
        os.makedirs(private, exist_ok=True)
        env = {k: v for k, v in os.environ.items() if not k.startswith("ROUTER_")}
        env.update(ROUTER_CONFIG=self.config_path, TMPDIR=private, **environment)
        log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
        )
        log.close()
        self.record.write("platform", f"started {self.name}, process {self.process.pid}")

    def signal(self, number):
        self.record.write("platform", f"{signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as f:
            return f.read()

    async def ready(self, within=10):
        """Waits until PING is answered with PONG."""
        host, port = self.config["listen"].rsplit(":", 1)
        until = time.monotonic() + within
        while time.monotonic() < until:
            if not self.running():
                raise CouldNotRun(f"{self.name} did not start:\n{self.log()}")
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(command("PING"))
                answer = await asyncio.wait_for(read_frame(reader), 1)
                writer.close()
                if answer == ("+", "PONG"):
                    self.record.write("platform", f"{self.name} is ready")
                    return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.name} was not ready:\n{self.log()}")


class Site:
    """Cache servers, an origin, discovery and one node."""

    def __init__(self, record, folder):
        self.record, self.folder, self.caches, self.nodes = record, folder, [], []
        self.members, self.origin, self.discovery = [], None, None
        self.peers = [f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(2)]

    async def start_servers(self, caches, cache_answer, origin_answer):
        for index in range(caches):
            cache = CacheServer(self.record, f"cache{index}", cache_answer)
            await cache.start()
            self.caches.append(cache)
            kind = "box-a" if index % 2 == 0 else "box-b"
            self.members.append(member(cache.name, cache.address, kind))
        self.origin = Origin(self.record, origin_answer)
        await self.origin.start()
        self.members.append(member("origin", self.origin.address, "origin"))
        self.discovery = Discovery(self.record, self.members)
        await self.discovery.start()

    async def start_nodes(self, limits=None):
        """Starts the two nodes of the site; the clients of a case use the first."""
        for index in range(2):
            name = f"n{index}"
            config = {
                "name": name,
                "listen": f"127.0.0.1:{free_port()}",
                "ops": f"127.0.0.1:{free_port()}",
                "discovery": self.discovery.address,
                "seed": f"8c1f30d27a5be96{index}",
                "limits": limits or {"cores": 1.0, "memory_mb": 128, "sockets": 1024},
                "peer_listen": self.peers[index],
                "peers": self.peers,
                "known": self.discovery.whole(),
                "settings": settings(me=index),
            }
            node = Node(self.record, self.folder, name, config)
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await node.ready()
        return self.nodes[0]

    def end(self):
        for node in self.nodes:
            node.end()


class Client:
    """A connection of a client."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.reader = self.writer = None

    async def connect(self, address, receive_buffer=None):
        host, port = address.rsplit(":", 1)
        sock = socket.socket()
        sock.setblocking(False)
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=8 << 20)
        return self

    def send(self, *words):
        self.record.write(self.name, "sent " + " ".join(w if isinstance(w, str) else f"({len(w)} bytes)" for w in words))
        self.writer.write(command(*words))

    async def answer(self, within, what=""):
        """The next answer; the string 'closed' or 'none' if there is none."""
        try:
            frame = await asyncio.wait_for(read_frame(self.reader), within)
        except asyncio.TimeoutError:
            frame = "none"
        except (asyncio.IncompleteReadError, ConnectionError) as e:
            frame = "closed"
            self.record.write(self.name, f"the connection ended: {type(e).__name__}")
        shown = repr(frame) if not isinstance(frame, bytes) or len(frame) < 100 else f"a value of {len(frame)} bytes"
        self.record.write(self.name, f"answer {what}: {shown}")
        return frame

    async def ask(self, *words, within=4):
        self.send(*words)
        await self.writer.drain()
        return await self.answer(within, words[2] if len(words) > 2 else words[0])

    def close(self):
        self.record.write(self.name, "closes its connection")
        self.writer.close()


_ids = 0


def new_id():
    global _ids
    _ids += 1
    return f"{_ids:016x}"


def get(key, deadline_ms=2500, rid=None):
    return ("CACHE.GET", key, rid or new_id(), f"c=read,t=north,d={deadline_ms}")


def put(key, value, deadline_ms=6000, rid=None, token=None, retry=False):
    rid = rid or new_id()
    extras = f"c=write,t=north,d={deadline_ms},k={token or 'k' + rid}" + (",r=1" if retry else "")
    return ("CACHE.SET", key, rid, extras, value)


def say(text):
    """Prints a line, if anybody reads it."""
    try:
        print(text, flush=True)
    except OSError:
        sys.stdout = open(os.devnull, "w", encoding="utf-8")


def run(case_folder, case, seconds=110):
    """Runs a case and ends the process with its result. `case(record, site)` returns HELD or BROKEN."""
    record = Record(case_folder)
    folder = tempfile.mkdtemp(prefix="review-")
    site = Site(record, folder)

    def stop(number, _):
        raise CouldNotRun(f"signal {number}")

    signal.signal(signal.SIGTERM, stop)

    async def bounded():
        return await asyncio.wait_for(case(record, site), seconds)

    try:
        result = asyncio.run(bounded())
    except BaseException as e:  # Whatever goes wrong beside the rule is no verdict on it.
        record.write("test", f"could not run: {type(e).__name__}: {e}")
        say(f"could not run: {type(e).__name__}: {e}")
        result = COULD_NOT_RUN
    finally:
        site.end()
        for node in site.nodes:
            record.write("test", f"log of {node.name}:\n{node.log()}")
        shutil.rmtree(folder, ignore_errors=True)
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
    record.write("test", words[result])
    say(words[result])
    sys.exit(result)
