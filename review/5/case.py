"""Two maintenance waves share machines. The later one is said to be completed although machines of it had no upkeep."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin"))
import standin  # noqa: E402

HOST, PREFIX, KEY = "desk.example", "/quote/", "key-of-a"
CORE = 1000
MACHINES = 7
IN_WAVE = ["m-1", "m-2", "m-3"]  # 0.43 of the machines; the site file's largest share is 0.49.
DURATION_S = 25  # The site file's waves last 24 to 27 s.
EARLIER, LATER = 9, 10


async def case(site, trouble):
    for i in range(MACHINES):
        site.add_machine(f"m-{i + 1}", "quote", cpu=16 * CORE)
    await site.start(standin.config(
        1, [{"name": "r-quote", "host": HOST, "prefix": PREFIX, "service": "quote"}], ["quote"], [("a", KEY, 0)]))

    await site.start_wave(EARLIER, IN_WAVE, DURATION_S, 1)
    if trouble:
        while not any(site.waves[str(EARLIER)].values()):
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
    else:
        await wait_until_completed(site, EARLIER)
    await site.start_wave(LATER, IN_WAVE, DURATION_S, 1)

    broken = False
    for wave in (EARLIER, LATER):
        await wait_until_completed(site, wave)
        missed = [m for m, began in site.waves[str(wave)].items() if began is None]
        site.record.write("check", "MIXED" if missed else "completed", wave=wave, without_upkeep=missed)
        broken = broken or bool(missed)
    return standin.BROKEN if broken else standin.HELD


async def wait_until_completed(site, wave):
    while await site.wave_state(wave) != "completed":
        await asyncio.sleep(0.5)


standin.run_case(case, __file__)
