"""Pool sizes follow demand and maintenance waves keep the availability budgets, with real processes."""

import json
import time
import unittest

import invariants
from fleet import Fleet, LoadThreads, call, wait_for

ALL_INSTANCES = list(range(1, 7))


def two_pool_catalogue(least_servers=3):
    service = {"owner": "north", "repeatable": False, "queue_limit": 1000,
               "timeout_ms": 8000, "max_run_ms": 8000}
    return {
        "teams": {"north": {"upper_limit": 200}},
        "services": {"quotes": {"pool": "quotes", **service}, "office": {"pool": "office", **service}},
        "pools": {"quotes": {"least_servers": least_servers, "availability_budget": 1},
                  "office": {"least_servers": 2, "availability_budget": 1, "spare": True}},
    }


class Capacity(unittest.TestCase):
    def start_fleet(self, servers=9, run_ms=40):
        f = Fleet(22000)
        self.addCleanup(f.stop)
        f.start()
        f.form_cluster()
        f.put_catalogue(two_pool_catalogue())
        for n in range(servers):
            f.start_server(f"s{n}", f"dc-{1 + n % 4}", slots=4, run_ms=run_ms, rack=f"r{n // 4}")
        self.key = f.create_key("north")["key"]
        wait_for("servers", lambda: f.alive_servers() == servers)
        return f

    def pool(self, f, name):
        return next(p for p in f.status()["pools"] if p["id"] == name)

    def test_servers_follow_demand_when_the_leader_dies(self):
        f = self.start_fleet()
        self.assertEqual(self.pool(f, "quotes")["servers"], 3)
        leader = f.leader()
        load = LoadThreads(f, "quotes", self.key, [i for i in ALL_INSTANCES if i != leader], threads=40)
        wait_for("a move", lambda: any("moving_to" in s for s in f.status()["servers"]))
        f.kill(leader)
        wait_for("a larger pool", lambda: self.pool(f, "quotes")["servers"] >= 6, 30)
        time.sleep(1)
        outcomes = load.stop()
        history = f.history()
        invariants.check_one_pool(self, history)
        invariants.check_at_most_once(self, history)
        invariants.check_answers(self, outcomes, history)
        late = f.request(6, "quotes", self.key, body="late", path="ms-300", headers={"Request-Timeout-Ms": "50"})
        request = late[1]["Fescue-Request-Id"]
        for subject in (f"request/{request}", "team/north"):
            decisions = f.read(f"/v1/explain/{subject}", at=6)["decisions"]
            self.assertTrue(any("outcome_unknown" in d["text"] for d in decisions), (subject, decisions))
        decisions = [f.read(f"/v1/explain/server/{s['id']}", at=f.leader())["decisions"]
                for s in f.status()["servers"]]
        self.assertTrue(any("quotes" in d["text"] for server in decisions for d in server), decisions)

    def test_reboot_wave_keeps_the_availability_budget(self):
        f = self.start_fleet(servers=8, run_ms=20)
        load = LoadThreads(f, "quotes", self.key, ALL_INSTANCES, threads=6)
        status, body = f.send_order("POST", "/v1/maintenance",
                                    {"servers": [f"s{n}" for n in range(8)], "action": "reboot"})
        self.assertIn(status, (200, 202), body)
        wave = body["id"]
        pools = {s["id"]: s["pool"] for s in f.status()["servers"]}
        killed_leader = False
        while True:
            progress = f.read(f"/v1/maintenance/{wave}", at=f.leader() if f.instances else 1)
            if progress is None:
                continue
            unavailable = [s for s, phase in progress["servers"].items() if phase in ("draining", "may_stop")]
            for pool in ("quotes", "office"):
                self.assertLessEqual(sum(pools[s] == pool for s in unavailable), 1, progress)
            if progress["done"]:
                break
            for s, phase in progress["servers"].items():
                process = f.servers[s]
                if phase == "may_stop" and not getattr(process, "rebooted", False):
                    n = int(s[1:])
                    command = process.args
                    running = [e for e in f.history() if e.server == s]
                    self.assertEqual(sum(e.kind == "start" for e in running),
                                     sum(e.kind == "end" for e in running),
                                     "allowed to stop while requests were running")
                    process.kill()
                    process.wait()
                    f.servers[s] = type(process)(command)
                    f.servers[s].rebooted = True
                    if n % 3 == 2 and not killed_leader:
                        killed_leader = True
                        leader = f.leader()
                        f.kill(leader)
                        f.start(leader)
            time.sleep(0.05)
        outcomes = load.stop()
        history = f.history()
        invariants.check_at_most_once(self, history)
        invariants.check_answers(self, outcomes, history)
        self.assertTrue(killed_leader)


if __name__ == "__main__":
    unittest.main()
