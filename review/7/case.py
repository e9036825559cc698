"""A cache server states a wrong length for a large value."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from standins import *  # noqa: E402,F403

VALUE = os.urandom(100_000)
STATED = 90_000
ASKED = 5


class SpoilingCache(Cache):
    async def answer(self, words, reader, writer):
        if words[1] != b"series" or not TROUBLE:
            return await super().answer(words, reader, writer)
        # The answer can't be read as the protocol says: no end of line stands behind the stated length.
        writer.write(b"*3\r\n$%d\r\n" % STATED + VALUE + b"\r\n" + bulk(b"hit") + b"$-1\r\n")
        self.site.record(f"{self.name} answered with {len(VALUE)} bytes under a stated length of {STATED}")


async def case(record):
    site = await Site(record, caches=3, nodes=1, cache=SpoilingCache).start()
    broken = []
    try:
        for cache in site.caches:
            cache.store[b"series"] = VALUE
        await site.nodes[0].start()
        for _ in range(ASKED):
            client = await site.nodes[0].client()
            how, what = await client.ask(get("series"), 5)
            client.close()
            record(f"the client got {how}: {len(what)} bytes" + (", the value" if what == VALUE else ""))
            if how == "served" and what != VALUE:
                broken.append(f"a client was served {len(what)} bytes that are not the value, and can't tell")
            if how == "none":
                record("the client can tell that it has no whole answer")
    finally:
        await site.end()
    return broken


play(case, pathlib.Path(__file__).parent)
