"""A client that sends many reads at once on one connection: each of them must get its answer."""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from standins import BROKEN, HELD, Client, CouldNotRun, bulk, get, run, trouble  # noqa: E402

# Under a sixteenth of `limits.maxOpen`, the open requests that a node has to take: 20,000.
READS = 1200
# Without the trouble the client sends as many, but this many at a time.
READS_AT_A_TIME = 50


async def case(record, site):
    async def cache(server, request):
        await asyncio.sleep(0.08)
        return b"*3\r\n" + bulk(request["key"].encode()) + b"+hit\r\n$-1\r\n"

    async def origin(request):
        await asyncio.sleep(0.03)
        return 200, {}, request["key"].encode()

    await site.start_servers(9, cache, origin)
    node = await site.start_nodes()
    client = await Client(record, "client").connect(node.config["listen"])
    reads = [get(f"station-{i % 200}") for i in range(READS)]
    at_a_time = READS if trouble() else READS_AT_A_TIME
    answers = []
    for begin in range(0, READS, at_a_time):
        batch = reads[begin : begin + at_a_time]
        for read in batch:
            client.send(*read)
        await client.writer.drain()
        for read in batch:
            # Longer than a read's deadline of 2.5 s and the 0.5 s after it in which an answer only earns nothing.
            answers.append(await client.answer(4, read[2]))
            if isinstance(answers[-1], str):
                break
        if isinstance(answers[-1], str):
            break
    end = answers[-1] if isinstance(answers[-1], str) else None
    answered = len(answers) - (end is not None)
    served = sum(isinstance(answer, bytes) for answer in answers)
    unanswered = len(reads) - answered if end == "closed" else int(end is not None)
    record.write("test", f"{READS} reads sent: {answered} answered, {served} of them with a value, {unanswered} never")
    print(f"{READS} reads sent: {answered} answered, {served} of them with a value, {unanswered} never")
    if not node.running():
        raise CouldNotRun("n0 has ended by itself")
    return BROKEN if unanswered else HELD


run(HERE, case)
