"""Orders on the control port that the schedulers store, and the limits of the configuration: no scheduler exceeds its
memory, and an ordinary request is answered."""

import json
import socketserver
import threading

from crowds import CALLER_PORT, CONTROL_PORT, ENTRY, HOST, JOB, SCHEDULERS, CrowdCase, padded_job, run_tests
from fleet import wait_for
from test_job_shutdown import CONFIG, request

WAVES = 80
MACHINES = 5000
SERVERS = 12
SERVER, SERVER_PORT = "127.0.0.38", 7530
DATA_CENTRES = 1000


class ControlCrowds(CrowdCase):
    def check_ordinary_request(self):
        wait_for("an ordinary request", lambda: self.submit(1) == 200)
        self.check_processes()

    def test_maintenance_waves_of_many_machines(self):
        self.start_job_service()
        for n in range(WAVES):
            wave = {"rollout_batch": n, "duration_s": 20, "cap": 1,
                    "machines": [f"m-{n}-{i:040}" for i in range(MACHINES)]}
            request(SCHEDULERS[0], CONTROL_PORT, "POST", "/wave-start", body=json.dumps(wave))
        self.check_ordinary_request()

    def test_data_centres_that_do_not_exist(self):
        self.start_job_service()
        for n in range(DATA_CENTRES):
            request(SCHEDULERS[0], CONTROL_PORT, "POST", f"/drain/{n}-" + "d" * 12000)
        self.check_ordinary_request()

    def put_limits(self, version, **limits):
        document = json.dumps(CONFIG | {"version": version, "limits": CONFIG["limits"] | limits})
        wait_for("the document",
                 lambda: request(SCHEDULERS[0], CONTROL_PORT, "PUT", "/config", body=document) == 200)

    def test_limits_of_the_configuration_apply(self):
        self.start_job_service()
        body, head = padded_job(2000), HOST | {"X-Long": "y" * 3000}
        self.put_limits(2, max_body_bytes=1000, max_header_bytes=2000, header_timeout_ms=300, idle_timeout_ms=1500)
        wait_for("the limit on bodies",
                 lambda: request(ENTRY, CALLER_PORT, "POST", f"/queue/{17:016x}", HOST, body) == 413)
        self.assertEqual(request(ENTRY, CALLER_PORT, "POST", f"/queue/{16:016x}", HOST, JOB), 200)
        self.assertEqual(request(ENTRY, CALLER_PORT, "POST", f"/queue/{18:016x}", head, JOB), 431)
        # The request line is not a header.
        self.assertNotEqual(request(ENTRY, CALLER_PORT, "GET", f"/queue/{16:016x}?" + "q" * 3000, HOST), 431)
        crowd = self.send_crowd(ENTRY, CALLER_PORT, [b"POST /queue/00000", b""])
        for s in crowd.sockets:
            s.settimeout(20)
            self.assertEqual(s.recv(4096), b"")
        # A later document raises the limits again; one without limits leaves those of the settings.
        self.put_limits(3)
        wait_for("the larger limit on bodies",
                 lambda: request(ENTRY, CALLER_PORT, "POST", f"/queue/{17:016x}", HOST, body) == 200)
        self.assertEqual(request(ENTRY, CALLER_PORT, "POST", f"/queue/{18:016x}", head, JOB), 200)

    def test_large_answers_of_servers(self):
        """Servers that answer polls with far more than a scheduler asks for, and stop before the end."""
        class Answer(socketserver.BaseRequestHandler):
            def handle(self):
                try:
                    self.request.recv(65536)
                    self.request.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + b" " * 20_000_000)
                    stop.wait(60)
                except OSError:
                    pass

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = daemon_threads = True

        stop = threading.Event()
        self.start_job_service()
        servers = [Server((SERVER, SERVER_PORT + n), Answer) for n in range(SERVERS)]
        try:
            for n, server in enumerate(servers):
                threading.Thread(target=server.serve_forever, daemon=True).start()
                report = {"service": "s", "address": f"{SERVER}:{SERVER_PORT + n}", "zone": "north", "version": "v1",
                          "slots": 8, "state": "ready", "warmup_left_ms": 0, "capacity": {"cpu": 1, "mem_mb": 1},
                          "seq": 1, "born": 1, "wall_clock_ms": 1, "labels": []}
                for address in SCHEDULERS:
                    request(address, CONTROL_PORT, "PUT", f"/instances/i-{n}", body=json.dumps(report))
            for n in range(20):
                wait_for("an ordinary request", lambda n=n: self.submit(0x1000 + n) == 200)
            self.check_processes()
        finally:
            stop.set()
            for server in servers:
                server.shutdown()
                server.server_close()


if __name__ == "__main__":
    run_tests()
