"""Clients that send large bodies and stop before the end: no process exceeds its memory or its descriptors, and an
ordinary request is answered while their connections are open. What holds for a small crowd and low limits holds for a
large crowd and the default limits."""

import http.client
import json
import os
import pathlib
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import unittest

from fleet import BUILD, wait_for
from test_job_shutdown import CONFIG, request

SCHEDULERS = ["127.0.0.31", "127.0.0.32", "127.0.0.33"]
ENTRY = "127.0.0.34"
PEER_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT = 7520, 7521, 7522, 7523
NODE_CALLER_PORT, NODE_CONTROL_PORT, NODE_PEER_PORT = 7524, 7525, 7526

KIB, MIB = 1 << 10, 1 << 20
LEGAL_BODY = 262144
LIMITS = {"max_body_bytes": 512 * KIB, "max_held_body_bytes": 4 * MIB, "body_stall_ms": 600000, "max_connections": 64}
CROWD = 120
OVERSIZED_CROWD = 40
JOB_CROWD = 48
# Memory of the jobs that have not ended, for schedulers.
MAX_JOB_BYTES = 4 * MIB
# A process uses less than 16 MiB by itself and holds each counted byte three times at most: in the request, in the frame
# for the leader, and while a buffer grows. A connection takes up to 32 KiB.
MEMORY_BOUND = 16 * MIB + 3 * LIMITS["max_held_body_bytes"] + CROWD * 32 * KIB
# Connections to other instances, files and the listening sockets, beside the connections that the limit allows.
DESCRIPTOR_BOUND = 40 + LIMITS["max_connections"]

HOST = {"Host": "jobs.example", "Deadline-Ms": "9000"}
JOB = json.dumps({"spec": "s", "steps": [{"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1}]}).encode()


def padded_job(size):
    """A valid job whose document has the given size."""
    return JOB + b" " * (size - len(JOB))


def chunked(body, chunk_size):
    """The body in chunks, without the end of the transfer."""
    parts = []
    for at in range(0, len(body), chunk_size):
        part = body[at:at + chunk_size]
        parts.append(b"%x\r\n%s\r\n" % (len(part), part))
    return b"".join(parts)


def request_head(method, path, framing):
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in HOST.items()),
             "Content-Type: application/json", framing]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Crowd:
    """Connections that send a request each and stay open. A server may refuse or close any of them."""

    def __init__(self, address, port, requests):
        self.sockets = []
        for data in requests:
            s = socket.create_connection((address, port), timeout=10)
            self.sockets.append(s)
            try:
                s.sendall(data)
            except OSError:
                pass

    def statuses(self):
        """The status of each connection's response, or None."""
        found = []
        for s in self.sockets:
            response = http.client.HTTPResponse(s)
            try:
                response.begin()
                found.append(response.status)
            except (OSError, http.client.HTTPException):
                found.append(None)
        return found

    def close(self):
        for s in self.sockets:
            s.close()


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


class BodyCrowds(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescue-body-crowds-"))
        self.processes, self.crowds = {}, []
        self.addCleanup(self.stop_all)

    def stop_all(self):
        for crowd in self.crowds:
            crowd.close()
        for p in self.processes.values():
            p.send_signal(signal.SIGCONT)
            p.kill()
            p.wait()
        if not os.environ.get("FESCUE_KEEP"):
            shutil.rmtree(self.folder)

    def start(self, name, settings):
        file = self.folder / f"{name}.json"
        limits = {"http": LIMITS} | ({"max_job_bytes": MAX_JOB_BYTES} if "data_folder" in settings else {})
        file.write_text(json.dumps(settings | limits))
        check = subprocess.run([BUILD / "fescued", "--config", file, "--check"], capture_output=True, check=False)
        if check.returncode != 0:
            # Versions without the limits don't know the field; they are to fail by what they hold.
            file.write_text(json.dumps(settings))
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen([BUILD / "fescued", "--config", file], stdout=log, stderr=log)

    def start_job_service(self):
        for address in [*SCHEDULERS, ENTRY]:
            settings = {"role": "entry" if address == ENTRY else "scheduler", "id": address, "data_centre": "north",
                        "listen": {"peers": f"{address}:{PEER_PORT}"}, "seeds": SCHEDULERS, "first_start": True,
                        "cluster_secret": "e2e"}
            if address == ENTRY:
                settings["listen"] |= {"callers": f"{address}:{CALLER_PORT}", "readiness": f"{address}:{READY_PORT}"}
            else:
                settings["listen"]["control"] = f"{address}:{CONTROL_PORT}"
                settings["data_folder"] = str(self.folder / address)
            self.start(address, settings)
        wait_for("the entry to be ready", lambda: request(ENTRY, READY_PORT, "GET", "/readyz") == 200)
        wait_for("the config", lambda: self.put_config(SCHEDULERS[0]) == 200)

    def put_config(self, address):
        return request(address, CONTROL_PORT, "PUT", "/config", body=json.dumps(CONFIG))

    def submit(self, job):
        return request(ENTRY, CALLER_PORT, "POST", f"/queue/{job:016x}", HOST, JOB)

    def send_crowd(self, address, port, requests):
        self.crowds.append(Crowd(address, port, requests))
        return self.crowds[-1]

    def check_processes(self):
        """Every process lives, and stays within its memory and its descriptors."""
        for name, p in self.processes.items():
            self.assertIsNone(p.poll(), f"{name} has ended")
            status = pathlib.Path(f"/proc/{p.pid}/status").read_text()
            peak = int(status.split("VmHWM:")[1].split()[0]) * KIB
            descriptors = len(os.listdir(f"/proc/{p.pid}/fd"))
            self.assertLessEqual(peak, MEMORY_BOUND, f"{name}: peak memory")
            self.assertLessEqual(descriptors, DESCRIPTOR_BOUND, f"{name}: open descriptors")

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
    resource.setrlimit(resource.RLIMIT_NOFILE, (4096, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
    unittest.main()
