"""A new version takes over while large values are being written and read: the memory of both processes together."""
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from standins import *  # noqa: E402,F403

MEMORY_MB, SOCKETS = 32, 256
WRITERS, READERS, READS = 14, 30, 30
SECONDS_BEFORE, SECONDS_AFTER = 6, 5
ROUNDS = 3


def anonymous_kb(process):
    """Memory of a process that it shares with nobody and that can't be given back: less than what counts."""
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("RssAnon:"))
    except (OSError, StopIteration):
        return 0


async def write(node, number, answers):
    """A client that has one write of 2 MiB under way, and comes again when told."""
    value = os.urandom(2 << 20)
    while True:
        try:
            client = await node.client()
            while True:
                how, what = await asyncio.wait_for(client.ask(put(f"station-{number}", value, d=6000)), 10)
                answers[f"write {how}"] = answers.get(f"write {how}", 0) + 1
                if how == "none":
                    break
                if how == "refused":
                    await asyncio.sleep(int(what.split()[1]) / 1000 if b" " in what else 0.1)
            client.close()
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.02)


async def read_slowly(node, answers):
    """A client that asks for some values at once and reads their answers slowly: 20 KB in a second."""
    while True:
        try:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", node.port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=4096)
            writer.write(b"".join(command(*get(f"series-{random.randrange(40)}")) for _ in range(READS)))
            until = time.monotonic() + 6
            while time.monotonic() < until and await asyncio.wait_for(reader.read(4000), 5):
                await asyncio.sleep(0.2)
            writer.close()
            answers["slow readers"] = answers.get("slow readers", 0) + 1
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(0.02)


async def one_upgrade(record):
    site = await Site(record, caches=3, nodes=1).start()
    # The tenant's share is large, so that nothing is refused as over it.
    site.settings["realms"][0]["quotaPerS"] = 5000.0
    site.limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1024)
    answers, tasks, broken = {}, [], []
    try:
        for cache in site.caches:
            for n in range(40):
                cache.store[f"series-{n}".encode()] = os.urandom(65000)
        site.origin.delay = 2.0  # It is slow.
        old = Node(site, 0, listener)
        await old.start()
        tasks += [asyncio.ensure_future(write(old, n, answers)) for n in range(WRITERS)]
        tasks += [asyncio.ensure_future(read_slowly(old, answers)) for _ in range(READERS)]
        processes, most, started = [old.process], [0, ""], time.monotonic()

        def measure():
            each = [anonymous_kb(process) for process in processes]
            if sum(each) > most[0]:
                most[:] = sum(each), " + ".join(map(str, each))

        async def measure_for(seconds):
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                measure()
                await asyncio.sleep(0.005)

        await measure_for(SECONDS_BEFORE)
        record(f"the most memory before: {most[1]} kB of {MEMORY_MB * 1024}; {answers}")
        if TROUBLE:
            new = Node(site, 0, listener)
            await new.start(label="-new", ready=False)
            processes.append(new.process)
            measuring = asyncio.ensure_future(measure_for(10))
            await new.wait_until_ready()
            measuring.cancel()
            record("the new version says yes")
            old.signal(signal.SIGTERM)
        # SIGKILL comes 3.7 s after SIGTERM at the earliest.
        await measure_for(3.7)
        if TROUBLE and old.process.returncode is None:
            old.signal(signal.SIGKILL)
        await measure_for(SECONDS_AFTER - 3.7)
        record(f"the most memory in all: {most[1]} kB of {MEMORY_MB * 1024}; {answers}")
        if most[0] > MEMORY_MB * 1024:
            broken.append(f"the node holds {most[1]} = {most[0]} kB of {MEMORY_MB * 1024}: over this it is killed")
        if not answers.get("write served"):
            raise CouldNotRun("no write was served")
    finally:
        for task in tasks:
            task.cancel()
        await site.end()
        listener.close()
    return broken


async def case(record):
    """The same again with a new node each time: how full the old process is varies from run to run."""
    for number in range(1, ROUNDS + 1):
        record(f"round {number} of {ROUNDS}")
        if broken := await one_upgrade(record):
            return broken
    return []


play(case, pathlib.Path(__file__).parent)
