"""Clients that send many reads at once: a node must stay within its memory, or the platform kills it."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from standins import BROKEN, HELD, Client, CouldNotRun, bulk, get, run, say, trouble  # noqa: E402

# The limits of the node in the operators' report page1145.
LIMITS = {"cores": 1.0, "memory_mb": 48, "sockets": 384}
# Clients use at most a third of the descriptors for their requests: 128 here.
CLIENTS = 12
READS_PER_CLIENT = 100
# "a value holds at most 64 KiB".
VALUE_BYTES = 64 * 1024
READ_S = 0.08
# How often the platform looks at the memory of the node.
WATCH_S = 0.01


def anonymous_kib(process):
    """Resident memory without program text and files: the least that a platform can count."""
    with open(f"/proc/{process}/status", encoding="ascii") as f:
        for line in f:
            if line.startswith("RssAnon:"):
                return int(line.split()[1])
    raise ProcessLookupError


async def case(record, site):
    async def cache(server, request):
        await asyncio.sleep(READ_S)
        value = request["key"].encode().ljust(VALUE_BYTES, b".")
        return b"*3\r\n" + bulk(value) + b"+hit\r\n$-1\r\n"

    async def origin(request):
        await asyncio.sleep(0.03)
        return 200, {}, b"kept"

    await site.start_servers(9, cache, origin)
    node = await site.start_nodes(LIMITS)
    memory = {"most": 0, "killed": False}

    async def platform():
        while node.running():
            try:
                used = anonymous_kib(node.process.pid)
            except (ProcessLookupError, FileNotFoundError):
                return
            if used > memory["most"] + 1024:
                record.write("platform", f"n0 uses {used} KiB of {LIMITS['memory_mb'] * 1024}")
            memory["most"] = max(memory["most"], used)
            if used > LIMITS["memory_mb"] * 1024:
                record.write("platform", f"n0 is over its limit with {used} KiB: killed")
                memory["killed"] = True
                node.process.kill()
                return
            await asyncio.sleep(WATCH_S)

    ends = {"served": 0, "refused": 0, "failed": 0, "never answered": 0}

    def count(frame):
        if isinstance(frame, bytes):
            ends["served"] += 1
        elif isinstance(frame, str):
            ends["never answered"] += 1
        else:
            ends["refused" if frame[1].startswith("BUSY") else "failed"] += 1

    async def use(number):
        client = await Client(record, f"client{number}").connect(node.config["listen"])
        reads = [get(f"station-{number * READS_PER_CLIENT + i}") for i in range(READS_PER_CLIENT)]
        if trouble():
            for read in reads:
                client.send(*read)
            for read in reads:
                count(await client.answer(4, read[2]))
        else:
            for read in reads:
                count(await client.ask(*read))

    watch = asyncio.create_task(platform())
    await asyncio.gather(*(use(number) for number in range(CLIENTS)))
    await asyncio.sleep(0.2)
    record.write("test", f"n0 used {memory['most']} KiB of {LIMITS['memory_mb'] * 1024} at the most")
    record.write("test", f"how the {CLIENTS * READS_PER_CLIENT} reads ended: {ends}")
    say(f"most memory {memory['most']} KiB of {LIMITS['memory_mb'] * 1024}; {ends}")
    if memory["killed"]:
        return BROKEN
    if not node.running():
        raise CouldNotRun("n0 has ended by itself")
    watch.cancel()
    return HELD


run(HERE, case)
