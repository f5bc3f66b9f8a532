"""Clients that send large bodies and stop before the end: no process exceeds its memory or its descriptors, and an
ordinary request is answered while their connections are open. What holds for a small crowd and low limits holds for a
large crowd and the default limits."""

import json
import signal

from crowds import (CALLER_PORT, CONTROL_PORT, CROWD, ENTRY, HOST, JOB, KIB, LEGAL_BODY, MIB, MORE_ENTRIES,
                    NODE_CALLER_PORT, NODE_CONTROL_PORT, NODE_PEER_PORT, READY_PORT, SCHEDULERS, CrowdCase, padded_job,
                    request_head, run_tests)
from fleet import wait_for
from test_job_shutdown import request

OVERSIZED_CROWD = 40
JOB_CROWD = 48


def chunked(body, chunk_size):
    """The body in chunks, without the end of the transfer."""
    parts = []
    for at in range(0, len(body), chunk_size):
        part = body[at:at + chunk_size]
        parts.append(b"%x\r\n%s\r\n" % (len(part), part))
    return b"".join(parts)


def unfinished_bodies(method, path):
    """Requests that stop short of the end of their body, by how they send it."""
    body = padded_job(LEGAL_BODY)
    announced = request_head(method, path, f"Content-Length: {LEGAL_BODY}")
    in_chunks = request_head(method, path, "Transfer-Encoding: chunked")
    return {
        "announced": [announced + body[:-1]] * CROWD,
        "large chunks": [in_chunks + chunked(body, 64 * KIB)] * CROWD,
        "one-byte chunks": [in_chunks + chunked(body, 1)] * CROWD,
        "far over the limit, announced": [
            request_head(method, path, f"Content-Length: {60 * MIB}") + b" " * MIB] * OVERSIZED_CROWD,
        "far over the limit, in chunks": [in_chunks + chunked(b" " * 6 * MIB, 64 * KIB)] * OVERSIZED_CROWD,
    }


class BodyCrowds(CrowdCase):
    def check_entry_crowd(self, requests):
        self.start_job_service()
        self.send_crowd(ENTRY, CALLER_PORT, requests)
        self.assertEqual(self.submit(1), 200)
        self.check_processes()

    def check_control_crowd(self, requests):
        self.start_job_service()
        self.send_crowd(SCHEDULERS[0], CONTROL_PORT, requests)
        self.assertEqual(self.put_config(SCHEDULERS[0]), 200)
        self.assertEqual(self.submit(1), 200)
        self.check_processes()

    def check_node_crowd(self, requests):
        self.start("node", {"id": "entry-1", "data_centre": "north",
                            "listen": {"callers": f"{ENTRY}:{NODE_CALLER_PORT}",
                                       "control": f"{ENTRY}:{NODE_CONTROL_PORT}",
                                       "peers": f"{ENTRY}:{NODE_PEER_PORT}"}})
        wait_for("the node", lambda: request(ENTRY, NODE_CALLER_PORT, "GET", "/healthz") == 200)
        self.send_crowd(ENTRY, NODE_CALLER_PORT, requests)
        # A caller without a key is answered that it has none.
        self.assertEqual(request(ENTRY, NODE_CALLER_PORT, "POST", "/v1/services/s/requests", {}, b"x"), 401)
        self.check_processes()

    def test_whole_bodies_while_the_leader_does_not_answer(self):
        # The entry holds each body until its call is answered.
        self.start_job_service()
        for address in SCHEDULERS:
            self.processes[address].send_signal(signal.SIGSTOP)
        head = [request_head("POST", f"/queue/{n + 16:016x}", f"Content-Length: {LEGAL_BODY}") for n in range(CROWD)]
        crowd = self.send_crowd(ENTRY, CALLER_PORT, [h + padded_job(LEGAL_BODY) for h in head])
        for address in SCHEDULERS:
            self.processes[address].send_signal(signal.SIGCONT)
        statuses = crowd.statuses()
        wait_for("an ordinary request", lambda: self.submit(1) == 200)
        for n, status in enumerate(statuses):
            if status == 503:
                # The refusal says that the job never runs.
                wait_for("the state of a refused job", lambda: request(
                    ENTRY, CALLER_PORT, "GET", f"/queue/{n + 16:016x}", HOST) == 410)
        self.check_processes()

    def test_whole_bodies_at_several_entries_while_the_leader_does_not_answer(self):
        # The schedulers read what all entries have queued for them at once.
        self.start_job_service()
        for address in MORE_ENTRIES:
            self.start_instance(address)
            wait_for(f"{address} to be ready", lambda a=address: request(a, READY_PORT, "GET", "/readyz") == 200)
        for address in SCHEDULERS:
            self.processes[address].send_signal(signal.SIGSTOP)
        for at, address in enumerate([ENTRY, *MORE_ENTRIES]):
            heads = [request_head("POST", f"/queue/{at * CROWD + n + 16:016x}", f"Content-Length: {LEGAL_BODY}")
                     for n in range(CROWD)]
            self.send_crowd(address, CALLER_PORT, [h + padded_job(LEGAL_BODY) for h in heads])
        for address in SCHEDULERS:
            self.processes[address].send_signal(signal.SIGCONT)
        wait_for("an ordinary request", lambda: self.submit(1) == 200)
        self.check_processes()

    def check_whole_jobs(self, job):
        """Complete jobs are accepted or refused, and what the schedulers store stays within their memory."""
        self.start_job_service()
        requests = [request_head("POST", f"/queue/{n + 16:016x}", f"Content-Length: {len(job)}") + job
                    for n in range(JOB_CROWD)]
        statuses = self.send_crowd(ENTRY, CALLER_PORT, requests).statuses()
        wait_for("an ordinary request", lambda: self.submit(1) == 200)
        self.check_processes()
        self.assertTrue(set(statuses) <= {200, 400, 503, 504, None}, statuses)

    def test_whole_jobs_with_a_large_payload(self):
        text = "s" * (LEGAL_BODY - 200)
        self.check_whole_jobs(JOB.replace(b'"s"', json.dumps(text).encode()))

    def test_whole_jobs_with_thousands_of_steps(self):
        steps = [{"count": 1}] * (LEGAL_BODY // 16)
        self.check_whole_jobs(json.dumps({"spec": "s", "steps": steps}).encode())

    def test_whole_jobs_with_thousands_of_tasks(self):
        steps = [{"count": 20000, "cpu": 10 ** 9}]
        self.check_whole_jobs(json.dumps({"spec": "s", "steps": steps}).encode())


def add_tests():
    """One test for each way to send unfinished bodies, and each port that takes them."""
    ports = {"entry": ("POST", "/queue/00000000000000a1", BodyCrowds.check_entry_crowd),
             "control": ("PUT", "/config", BodyCrowds.check_control_crowd),
             "node": ("POST", "/v1/services/s/requests", BodyCrowds.check_node_crowd)}
    for port, (method, path, check) in ports.items():
        for kind, requests in unfinished_bodies(method, path).items():
            name = f"test_{port}_{kind}".replace(" ", "_").replace(",", "").replace("-", "_")
            setattr(BodyCrowds, name, lambda self, check=check, requests=requests: check(self, requests))


add_tests()

if __name__ == "__main__":
    run_tests()
