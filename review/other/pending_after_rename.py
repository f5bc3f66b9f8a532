"""A config gives a route another name. The number of pending submissions that is then returned leaves out the old ones."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))
import standin  # noqa: E402

HOST, PREFIX, KEY = "desk.example", "/filing/", "key-of-a"
CORE = 1000
SUBMISSIONS = 14
VISIBLE_S = standin.BOUNDS["visible_ms"] / 1000 + 2


def config(version, name):
    return standin.config(version, [{"name": name, "host": HOST, "prefix": PREFIX, "service": "filing"}], ["filing"],
                          [("a", KEY, 2 * CORE)])


async def case(site, trouble):
    for i in range(4):
        site.add_machine(f"m-{i + 1}", "filing", cpu=8 * CORE)
    await site.start(config(1, "r-1"))
    for _ in range(SUBMISSIONS):
        await site.submit(HOST, PREFIX, KEY, {"spec": "[60000]", "steps": [
            {"count": 1, "cpu": CORE, "mem_mb": 64, "estimate_ms": 60000}]})
    await asyncio.sleep(VISIBLE_S + 1)
    if trouble:
        await site.order("PUT", "/config", config(2, "r-2"))
        await asyncio.sleep(VISIBLE_S)
    waiting = SUBMISSIONS - len({run.job for _, run in site.started_runs})
    answer = await site.request("GET", HOST, PREFIX, KEY)
    shown = answer[1]["pending"]
    site.record.write("check", "MIXED" if shown < waiting / 2 else "pending", shown=shown, not_begun=waiting)
    return standin.BROKEN if shown < waiting / 2 else standin.HELD


standin.run_case(case, __file__)
