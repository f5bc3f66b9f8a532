"""Requests through six instances, from the caller to the backend server and back."""

import unittest

import invariants
from fleet import FOUR_DATA_CENTRES, THREE_DATA_CENTRES, Fleet, LoadThreads, simple_catalogue, wait_for


class RequestPath(unittest.TestCase):
    def check_layout(self, layout, base):
        fleet = Fleet(base, layout)
        self.addCleanup(fleet.stop)
        fleet.start()
        fleet.form_cluster()
        fleet.put_catalogue(simple_catalogue())
        for n, dc in enumerate(sorted(set(layout)) * 2):
            fleet.start_server(f"s{n}", dc)
        key = fleet.create_key("north")["key"]
        count = len(fleet.servers)
        wait_for("servers", lambda: fleet.alive_servers() == count)
        load = LoadThreads(fleet, "quotes", key, list(range(1, 7)), threads=12)
        wait_for("responses", lambda: len(load.outcomes) > 300)
        outcomes = load.stop()
        self.assertEqual(invariants.refusals(outcomes), {})
        invariants.check_answers(self, outcomes, fleet.history())

    def test_four_data_centres(self):
        self.check_layout(FOUR_DATA_CENTRES, 20000)

    def test_three_data_centres(self):
        self.check_layout(THREE_DATA_CENTRES, 20000)


if __name__ == "__main__":
    unittest.main()
