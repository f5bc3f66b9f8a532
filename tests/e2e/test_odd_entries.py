"""Entries of other writers that can't be used, in reports, polls and the list of machines: no instance ends, and the
entries beside them hold."""

import http.client
import http.server
import json
import pathlib
import shutil
import subprocess
import tempfile
import threading
import time
import unittest

from fleet import BUILD, wait_for

SCHEDULERS = ["127.0.0.31", "127.0.0.32", "127.0.0.33"]
ENTRY = "127.0.0.34"
WORKER, MACHINES = "127.0.0.35:7525", "127.0.0.36:7526"
PEER_PORT, CONTROL_PORT, CALLER_PORT, READY_PORT = 7520, 7521, 7522, 7523
ROUTE = {"name": "r", "host": "jobs.example", "path_prefix": "/queue/", "kind": "job", "timeout_ms": 9000,
         "target_latency_ms": 600, "priority": 0, "service": "s", "max_attempts": 3, "slack_factor": 2.0,
         "public": True}
CONFIG = {"version": 1, "routes": [ROUTE], "services": [{"name": "s"}], "tenants": []}
GOOD = {"service": "s", "address": WORKER, "zone": "north", "state": "ready", "labels": ["a", "r1"],
        "capacity": {"cpu": 4000, "mem_mb": 4000, "gpu": 0}, "born": 1786000000000}
NESTED = "[" * 100_000 + "]" * 100_000
ODD_VALUES = {
    "capacity": ['{"cpu":18446744073709551615}', '{"cpu":-5}', '{"mem_mb":-9223372036854775808}', '{"gpu":1e400}', "[]"],
    "born": ["18446744073709551615", "-1", "1.5", '"x"'], "seq": ["-1", "18446744073709551615", "NaN"],
    "wall_clock_ms": ["18446744073709551615", "1e400"], "state": ['"gone"', "7"], "service": ['""', "{}", NESTED],
    "address": ['"10.0.0.1:65536"', '"10.0.0.1:0"', '"worker:80"', '"10.0.0.1\\u0000:80"', "null"],
    "labels": [NESTED, '{"a":1}', '["\\u001b[31m"]', '["' + "x" * 400_000 + '"]']}
ODD_BODIES = [b"", b"null", b"{", b"\xff\xfe", b"[" * 400_000, NESTED.encode(), b'{"a":' * 50_000]
ODD_MACHINES = ["7", "null", '{"machine":"m-2","capacity":{"cpu":18446744073709551615}}', NESTED,
                '{"machine":"m-3","capacity":{"cpu":1e400}}', '{"machine":7}', '{"machine":"m-4","labels":{}}']
GOOD_MACHINE = {"machine": "m-1", "pool": "s", "state": "up", "zone": "north", "labels": ["a", "r1"],
                "capacity": GOOD["capacity"], "id": "i-1"}


def request(address, port, method, path, body=None, headers=None):
    """Sends one request. Returns its status, or the name of the error that ended the connection without a response."""
    connection = http.client.HTTPConnection(address, port, timeout=5)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, http.client.HTTPException) as e:
        return type(e).__name__
    finally:
        connection.close()


class FakeServer:
    """Serves POST and GET requests; handlers return the text of the response."""

    def __init__(self, address, handle):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0))).decode()
                answer = handle(self.path, json.loads(body) if body else None).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                self.wfile.write(answer)

            do_GET = do_POST

            def log_message(self, *_):
                pass

        ip, port = address.split(":")
        self.server = http.server.ThreadingHTTPServer((ip, int(port)), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class OddEntries(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="fescue-odd-entries-"))
        self.processes, self.sequence, self.runs = {}, 0, []
        self.addCleanup(self.stop_all)
        for address, handle in ((WORKER, self.answer_order), (MACHINES, self.list_machines)):
            self.addCleanup(FakeServer(address, handle).stop)
        for address in [*SCHEDULERS, ENTRY]:
            self.start(address)
        wait_for("the entry to be ready", lambda: request(ENTRY, READY_PORT, "GET", "/readyz") == 200)
        wait_for("the config", lambda: self.control("PUT", "/config", json.dumps(CONFIG)) == 200)

    def start(self, address):
        settings = {"role": "entry" if address == ENTRY else "scheduler", "id": address, "data_centre": "north",
                    "listen": {"peers": f"{address}:{PEER_PORT}"}, "seeds": SCHEDULERS, "first_start": True,
                    "cluster_secret": "e2e", "machine_service": {"address": MACHINES}}
        if address == ENTRY:
            settings["listen"] |= {"callers": f"{address}:{CALLER_PORT}", "readiness": f"{address}:{READY_PORT}"}
        else:
            settings["listen"]["control"] = f"{address}:{CONTROL_PORT}"
            settings["data_folder"] = str(self.folder / address)
        file = self.folder / f"{address}.json"
        file.write_text(json.dumps(settings))
        with open(self.folder / f"{address}.log", "ab") as log:
            self.processes[address] = subprocess.Popen([BUILD / "fescued", "--config", file], stdout=log, stderr=log)

    def stop_all(self):
        for p in self.processes.values():
            p.kill()
            p.wait()
        shutil.rmtree(self.folder)

    def answer_order(self, path, order):
        """The worker ends each run at once and lists odd figures beside the end."""
        if path == "/run-start":
            self.runs.append([len(self.runs) + 1, order["task"], order["attempt"], "done", ""])
        lists = {"active": [], "finished": [r for r in self.runs if r[0] > order.get("ack_cursor", 0)]}
        return json.dumps({"wall_clock_ms": int(time.monotonic() * 1000), "born": GOOD["born"]} |
                          (lists if path == "/hold" else {}))

    def list_machines(self, _path, _order):
        return '{"machines":[' + ",".join([*ODD_MACHINES, json.dumps(GOOD_MACHINE)]) + '],"next_token":""}'

    def control(self, method, path, body=None, at=SCHEDULERS[0]):
        return request(at, CONTROL_PORT, method, path, body)

    def clear_answer(self, *call):
        """The status of a call, which is repeated while it gets no clear response: a leader may change meanwhile."""
        def attempt():
            status = self.control(*call)
            return None if status == 503 else status

        return wait_for("a clear response", attempt)

    def report_text(self, field="", value=""):
        self.sequence += 1
        fields = {k: json.dumps(v) for k, v in GOOD.items()} | {
            "seq": str(self.sequence), "wall_clock_ms": str(int(time.monotonic() * 1000))}
        if field:
            fields[field] = value
        return "{" + ",".join(f'"{k}":{v}' for k, v in fields.items()) + "}"

    def logs(self):
        return "".join((self.folder / f"{a}.log").read_bytes().decode("ascii") for a in SCHEDULERS)

    def test_odd_entries_end_no_instance_and_cost_no_good_entry(self):
        odd = [("/instances/i-1", self.report_text(field, value).encode())
               for field, values in ODD_VALUES.items() for value in values]
        odd += [("/instances/i-1", body) for body in ODD_BODIES]
        odd += [("/instances/" + name, self.report_text().encode())
                for name in ("i-1%0d%0aKey:%20k", "i-%01", "i-%ff", "i" * 300)]
        for at in SCHEDULERS:
            for path, body in odd:
                with self.subTest(path=path[:60], body=body[:200]):
                    self.assertIn(self.clear_answer("PUT", path, body, at), (400, 404))
        self.assertEqual(self.clear_answer("PUT", "/instances/i-1", self.report_text()), 200)

        job = json.dumps({"spec": "s", "steps": [{"count": 3, "cpu": 100, "mem_mb": 1, "estimate_ms": 10}]})
        self.assertEqual(request(ENTRY, CALLER_PORT, "POST", "/queue/00000000000000a1", job,
                                 {"Host": "jobs.example", "Deadline-Ms": "4000"}), 200)
        wait_for("all tasks", lambda: len(self.runs) >= 3)
        wait_for("the good machine of the list", lambda: "event=machine_list machines=1\n" in self.logs())
        self.assertEqual([p.poll() for p in self.processes.values()], [None] * 4)
        logs = self.logs()
        self.assertIn("event=machine_entry_unreadable machine=m-2", logs)
        self.assertLess(max(map(len, logs.splitlines())), 2000)
        refused = logs.count("event=control_call_refused")
        self.assertTrue(0 < refused <= len(odd), f"{refused} lines for {3 * len(odd)} calls")


if __name__ == "__main__":
    unittest.main()
