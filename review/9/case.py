"""A node is told to end while a large value is on its way, with further requests behind it on the same connection."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from standins import *  # noqa: E402,F403

VALUE = os.urandom(4 << 20)


class Slow(SlowCache):
    pause = 0.03  # About 8 s in all.


async def case(record):
    site = await Site(record, caches=3, nodes=1, cache=Slow).start()
    broken = []
    try:
        for cache in site.caches:
            cache.store[b"large"], cache.store[b"small"] = VALUE, b"a small value"
        node = site.nodes[0]
        await node.start()
        client = await node.client()
        requests = {"the large value": get("large"), "a small read": get("small"), "a write": put("other", b"new")}
        for name, words in requests.items():
            client.send(words)
            record(f"the client asked for {name}: id={words[2]}")
        await asyncio.sleep(1)
        ran = [request for _, request, *_ in site.origin.ran]
        record(f"the write has {'run' if requests['a write'][2] in ran else 'not run'}")
        if TROUBLE:
            node.signal(signal.SIGTERM)
        for name, words in requests.items():
            how, what = await asyncio.wait_for(client.answer(), 30)
            record(f"the client got for {name}: {how}, {what if len(what) < 200 else len(what)}")
            if how == "none" and words is requests["the large value"]:
                raise CouldNotRun("the large value did not come whole")
            if how == "none":
                broken.append(f"{name}: taken before SIGTERM, and the node ended the connection with no answer to it")
        if TROUBLE:
            # The platform has not killed it: the node ends by itself.
            await asyncio.wait_for(node.process.wait(), 20)
            record(f"the node has ended by itself with {node.process.returncode}")
    finally:
        await site.end()
    return broken


play(case, pathlib.Path(__file__).parent)
