"""Callers whose jobs are within the limits of a single request but together describe far more steps and tasks than
fit: no scheduler exceeds its memory, whether the jobs are active or have ended, and a scheduler that restarts or takes
over a snapshot keeps the same bound."""

import http.client
import json
import shutil
import signal
import time

from crowds import (CALLER_PORT, CONTROL_PORT, ENTRY, HOST, JOB, MAX_LOG_BYTES, MIB, SCHEDULERS, CrowdCase,
                    run_tests)
from fleet import wait_for
from test_job_shutdown import CONFIG, request

WITHDRAWN_JOBS = 150
SMALL_JOBS = 40000
CONNECTIONS = 32
LONG_PAYLOAD = JOB.replace(b'"s"', json.dumps("s" * 3900).encode(), 1)
MANY_STEPS = json.dumps({"spec": "s", "steps": [{"count": 1}] * 5000}).encode()
MANY_TASKS = json.dumps({"spec": "s", "steps": [{"count": 20000, "cpu": 10 ** 9}]}).encode()
MANY_OCCURRENCES = json.dumps({"spec": "s", "repeat_count": 100000, "start_at_ms": 1, "interval_ms": 1,
                               "steps": [{"count": 5000, "cpu": 10 ** 9}]}).encode()
# Documents of about 250 KB that replace each other.
DOCUMENTS = 60
ROUTES = 1000


def large_document(version):
    route = CONFIG["routes"][0]
    more = [route | {"name": f"r-{n}", "path_prefix": f"/queue-{n}/"} for n in range(ROUTES)]
    return json.dumps(CONFIG | {"version": version, "routes": [route, *more]})


class JobCrowds(CrowdCase):
    def withdraw_each(self, job, count, first=16):
        """Submits jobs over one connection and withdraws each at once. Returns the statuses of the submissions."""
        statuses = []
        connection = http.client.HTTPConnection(ENTRY, CALLER_PORT, timeout=15)
        for n in range(first, first + count):
            for method, body in [("POST", job), ("DELETE", None)]:
                try:
                    connection.request(method, f"/queue/{n:016x}", body, HOST)
                    response = connection.getresponse()
                    response.read()
                    status = response.status
                except (OSError, http.client.HTTPException):
                    connection.close()
                    status = None
                if method == "POST":
                    statuses.append(status)
        connection.close()
        return statuses

    def send_all(self, requests):
        """Sends requests over several connections at a time."""
        shares = [requests[n::CONNECTIONS] for n in range(CONNECTIONS)]
        connections = [http.client.HTTPConnection(ENTRY, CALLER_PORT, timeout=30) for _ in shares]
        for at in range(len(shares[0])):
            pending = [(c, share[at]) for c, share in zip(connections, shares) if at < len(share)]
            for connection, (method, path, body) in pending:
                connection.request(method, path, body, HOST)
            for connection, _ in pending:
                connection.getresponse().read()
        for connection in connections:
            connection.close()

    def check_ordinary_request(self):
        wait_for("an ordinary request", lambda: self.submit(1) == 200, seconds=60)
        self.check_processes()

    def restart(self, address, wipe_disk):
        """Kills a scheduler and starts it again, with its disk or without anything on it."""
        self.processes[address].kill()
        self.processes[address].wait()
        if wipe_disk:
            shutil.rmtree(self.folder / address)
        self.start_instance(address)
        wait_for(f"{address} to be back",
                 lambda: request(address, CONTROL_PORT, "GET", "/config") == 200, seconds=60)

    def restart_all(self):
        """Restarts the schedulers in turn, one of them without its disk: the loss of one is tolerated."""
        for address, wipe_disk in zip(SCHEDULERS, [False, False, True]):
            self.restart(address, wipe_disk)
            self.check_ordinary_request()

    def check_withdrawn(self, job):
        self.start_job_service()
        statuses = self.withdraw_each(job, WITHDRAWN_JOBS)
        self.check_ordinary_request()
        self.assertTrue(set(statuses) <= {200, 503, 504, None}, set(statuses))
        self.assertIn(200, statuses)
        self.restart_all()

    def test_withdrawn_jobs_with_thousands_of_steps(self):
        self.check_withdrawn(MANY_STEPS)

    def test_withdrawn_jobs_with_thousands_of_tasks(self):
        self.check_withdrawn(MANY_TASKS)

    def test_withdrawn_small_jobs(self):
        self.start_job_service()
        ids = range(16, 16 + SMALL_JOBS)
        self.send_all([("POST", f"/queue/{n:016x}", JOB) for n in ids])
        self.send_all([("DELETE", f"/queue/{n:016x}", None) for n in ids])
        self.check_processes()

    def test_a_job_with_many_occurrences(self):
        self.start_job_service()
        status = request(ENTRY, CALLER_PORT, "POST", f"/queue/{16:016x}", HOST, MANY_OCCURRENCES)
        self.assertIn(status, {200, 400, 503})
        # Occurrences are due every millisecond; the ordinary job is stored after those of some time.
        for _ in range(20):
            self.withdraw_each(JOB, 10, first=0x1000)
        self.check_ordinary_request()

    def test_active_jobs_while_snapshots_are_taken(self):
        self.start_job_service()
        for n in range(16, 16 + 48):
            request(ENTRY, CALLER_PORT, "POST", f"/queue/{n:016x}", HOST, MANY_TASKS)
        # Fills the log several times.
        self.withdraw_each(LONG_PAYLOAD, 400, first=0x1000)
        self.check_processes()
        self.restart_all()

    def test_jobs_while_the_leader_changes(self):
        self.start_job_service()
        for address in SCHEDULERS:
            self.withdraw_each(MANY_STEPS, 20, first=0x1000)
            self.processes[address].send_signal(signal.SIGSTOP)
            self.withdraw_each(MANY_STEPS, 20, first=0x2000)
            self.processes[address].send_signal(signal.SIGCONT)
        self.check_ordinary_request()

    def test_documents_that_replace_each_other(self):
        self.start_job_service()
        for version in range(2, 2 + DOCUMENTS):
            wait_for("the document", lambda v=version: request(
                SCHEDULERS[0], CONTROL_PORT, "PUT", "/config", body=large_document(v)) == 200)
        self.check_ordinary_request()


class ManyTasksThatLast(CrowdCase):
    """Half a million tasks that last and that no server can run, from a few small documents."""
    scheduler_changes = {"max_job_bytes": 48 * MIB}

    def test_ordinary_request_while_tasks_that_last_wait(self):
        self.start_job_service()
        job = json.dumps({"spec": "s", "steps": [{"count": 20000, "cpu": 10 ** 9, "long_running": True}]}).encode()
        for n in range(16, 16 + 28):
            request(ENTRY, CALLER_PORT, "POST", f"/queue/{n:016x}", HOST, job)
        for n in range(3):
            wait_for("an ordinary request", lambda n=n: self.submit(0x1000 + n) == 200, seconds=60)
            wait_for("the first tasks to have waited", lambda: request(
                ENTRY, CALLER_PORT, "GET", f"/queue/{16:016x}", HOST) == 200, seconds=60)
            time.sleep(2)
        self.check_processes(memory_bound=16 * MIB + 3 * 48 * MIB + 2 * MAX_LOG_BYTES)


if __name__ == "__main__":
    run_tests()
