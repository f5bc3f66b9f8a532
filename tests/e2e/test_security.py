"""Tokens, cluster secrets, TLS, and the errors of a start that fails."""

import json
import os
import pathlib
import ssl
import subprocess
import unittest
import urllib.request

from fleet import BUILD, Fleet, call, simple_catalogue, wait_for


def write_secret(folder, name, text):
    file = folder / name
    file.write_text(text + "\n")
    file.chmod(0o600)
    return str(file)


class Security(unittest.TestCase):
    def single_instance(self, **settings):
        f = Fleet(24000, ["dc-1"], (1,), settings={})
        self.addCleanup(f.stop)
        file = f.folder / "entry-1.json"
        s = json.loads(file.read_text())
        for key, value in settings.items():
            s[key] = value(f.folder) if callable(value) else value
        file.write_text(json.dumps(s))
        return f

    def run_fescuectl(self, f, *arguments):
        return subprocess.run([BUILD / "fescuectl", *arguments, "--address", f"127.0.0.1:{f.control_port(1)}"],
                              capture_output=True, text=True, check=False)

    def test_tokens_are_required_and_keys_are_not_stored_in_clear(self):
        f = self.single_instance(operator_token_file=lambda d: write_secret(d, "op", "operator-token"),
                                 server_token_file=lambda d: write_secret(d, "srv", "server-token"),
                                 cluster_secret_file=lambda d: write_secret(d, "cl", "cluster-secret"))
        f.start()
        wait_for("ready", lambda: f.ready_count() == 1)
        for headers in ({}, {"Authorization": "Bearer wrong"}, {"Authorization": "Bearer server-token"}):
            self.assertEqual(call(f.control_port(1), "GET", "/v1/status", headers=headers)[0], 401)
            self.assertEqual(call(f.control_port(1), "POST", "/v1/form", headers=headers)[0], 401)
        info = {"address": "127.0.0.1:9", "data_centre": "dc-1", "incarnation": 1}
        self.assertEqual(call(f.control_port(1), "POST", "/v1/servers/s1", info)[0], 401)
        self.assertEqual(call(f.control_port(1), "POST", "/v1/servers/s1", info,
                              {"Authorization": "Bearer server-token"})[0], 200)
        token = ["--token-file", str(f.folder / "op")]
        (f.folder / "cat.json").write_text(json.dumps(simple_catalogue()))
        self.assertEqual(self.run_fescuectl(f, "catalogue", "put", str(f.folder / "cat.json"), *token).returncode, 0)
        first = self.run_fescuectl(f, "key", "give", "north", "--order-id", "k1", *token)
        repeated = self.run_fescuectl(f, "key", "give", "north", "--order-id", "k1", *token)
        self.assertEqual(json.loads(first.stdout)["key"], json.loads(repeated.stdout)["key"])
        key_secret = json.loads(first.stdout)["key"].rsplit("_", 1)[1]
        for file in (f.folder / "data-1").iterdir():
            self.assertNotIn(key_secret.encode(), file.read_bytes())
            self.assertNotIn(bytes.fromhex(key_secret), file.read_bytes())
        self.assertEqual(self.run_fescuectl(f, "status", *token).returncode, 0)
        self.assertEqual(self.run_fescuectl(f, "status").returncode, 1)

    def test_instance_with_another_cluster_secret_cannot_join(self):
        f = Fleet(24000, ["dc-1", "dc-2"], (1,))
        self.addCleanup(f.stop)
        for i, text in ((1, "one secret"), (2, "another")):
            file = f.folder / f"entry-{i}.json"
            s = json.loads(file.read_text())
            s["cluster_secret_file"] = write_secret(f.folder, f"cl-{i}", text)
            file.write_text(json.dumps(s))
        f.start()
        wait_for("form", lambda: (call(f.control_port(1), "POST", "/v1/form") or [0])[0] == 200)
        wait_for("ready", lambda: call(f.caller_port(1), "GET", "/readyz")[0] == 200)
        wait_for("a refused connection in the log", lambda: "refused" in (f.folder / "entry-1.log").read_text())
        self.assertEqual(call(f.caller_port(2), "GET", "/readyz")[0], 503)
        self.assertEqual([i["id"] for i in f.read("/v1/status")["instances"]], ["entry-1"])

    def test_tls(self):
        f = self.single_instance()
        pem, key = f.folder / "cert.pem", f.folder / "key.pem"
        subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-keyout", key, "-out", pem,
                        "-days", "1", "-subj", "/CN=127.0.0.1", "-addext", "subjectAltName=IP:127.0.0.1"],
                       check=True, capture_output=True)
        file = f.folder / "entry-1.json"
        file.write_text(json.dumps({**json.loads(file.read_text()),
                                    "tls": {"certificate_file": str(pem), "key_file": str(key)}}))
        f.start()
        tls_context = ssl.create_default_context(cafile=str(pem))

        def ready():
            try:
                return urllib.request.urlopen(f"https://127.0.0.1:{f.caller_port(1)}/readyz",
                                              context=tls_context).status == 200
            except OSError:
                return False

        wait_for("ready over TLS", ready)
        self.assertIsNone(call(f.caller_port(1), "GET", "/readyz"), "plain HTTP is not accepted")
        self.assertEqual(self.run_fescuectl(f, "status", "--ca", str(pem)).returncode, 0)

    def test_start_fails_with_a_reason_for_invalid_settings_or_a_damaged_log(self):
        f = self.single_instance(colour="red", log_level="loud")
        result = subprocess.run([BUILD / "fescued", "--config", f.folder / "entry-1.json", "--check"],
                               capture_output=True, text=True, check=False)
        self.assertEqual(result.returncode, 2)
        self.assertIn("colour: is not a known field", result.stderr)
        self.assertIn("log_level: must be", result.stderr)
        f = self.single_instance()
        f.start()
        wait_for("ready", lambda: f.ready_count() == 1)
        f.kill(1)
        log = f.folder / "data-1/log"
        damaged = bytearray(log.read_bytes())
        damaged[25] ^= 1
        log.write_bytes(damaged)
        run = subprocess.run([BUILD / "fescued", "--config", f.folder / "entry-1.json"],
                             capture_output=True, text=True, timeout=10, check=False)
        self.assertEqual(run.returncode, 1)
        self.assertIn("move the folder away", run.stdout)
        self.assertEqual(log.read_bytes(), bytes(damaged))


if __name__ == "__main__":
    unittest.main()
