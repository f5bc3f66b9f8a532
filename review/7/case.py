"""Case 7: an operator's order that a cut-off scheduler passed on is carried out when the cut heals, seconds after the
operator was told that it failed, and undoes a later order that was confirmed."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-2"))
import fleet as standins  # noqa: E402

POOL = "quotes"
ZONE = "west"
WORKERS = 9
CUT_S = 1.9        # core_cut: count 1, for_s up to 5.5; shorter than the schedulers' TCP_USER_TIMEOUT of 2 s
EVACUATION_S = 5.0  # evacuation_ms
CONTACT_S = 3.0    # contact_ms


async def play(fleet):
    fleet.workers = [standins.Worker(fleet, i, POOL, standins.ZONES[i % 3]) for i in range(WORKERS)]
    await fleet.start()
    await fleet.operate("PUT", "/config", fleet.config(1, [POOL]))
    await asyncio.sleep(2.0)
    leader = await fleet.leader()
    follower = next(s for s in fleet.schedulers if s is not leader)
    fleet.record(f"the leader is {leader.name}")
    load = asyncio.create_task(submit_all_the_time(fleet))
    await fleet.operate("POST", f"/drain/{ZONE}")
    await asyncio.sleep(2.0)

    if standins.TROUBLE:
        fleet.network.cut(follower)
    healing_at = fleet.record.now() + CUT_S
    await asyncio.sleep(0.05)
    # The operator picks among the schedulers; this time it comes to the one that is cut off first.
    await fleet.operate("DELETE", f"/drain/{ZONE}", first=follower)
    await asyncio.sleep(0.05)
    evacuated = await fleet.operate("POST", f"/drain/{ZONE}", first=leader)
    await asyncio.sleep(max(0, healing_at - fleet.record.now()))
    if standins.TROUBLE:
        fleet.network.heal()
    healed = fleet.record.now()
    await asyncio.sleep(10.0)
    load.cancel()

    # Machines that were calm for contact_ms are in touch, and the evacuation was confirmed evacuation_ms before.
    from_s = max(evacuated + EVACUATION_S, healed + CONTACT_S)
    late = [s for s in fleet.starts if s[1].zone == ZONE and s[0] > from_s]
    if late:
        at, worker, task, attempt = late[0]
        return (f"EVAC: {len(late)} tasks were started in {ZONE} after {from_s:.3f} s, the first at {at:.3f} s ({task} "
                f"run {attempt} on {worker.id}); its evacuation was confirmed at {evacuated:.3f} s and not taken back")
    return None


async def submit_all_the_time(fleet):
    """Each submission has as many tasks as there are workers, at most one of them on each."""
    while True:
        await fleet.submit(POOL, {"spec": '{"ms":300}', "steps": [
            {"count": WORKERS, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 300, "anti_affinity": 1}]})
        await asyncio.sleep(0.5)


standins.run(HERE, play, relayed_peers=True)
