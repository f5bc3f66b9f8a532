"""The whole path through six instances."""

import unittest

import invariants
from fleet import FOUR, THREE, Fleet, Load, simple_catalogue, wait_for


class WholePath(unittest.TestCase):
    def serve(self, layout, base):
        fleet = Fleet(base, layout)
        self.addCleanup(fleet.stop)
        fleet.start()
        fleet.form()
        fleet.catalogue(simple_catalogue())
        for n, dc in enumerate(sorted(set(layout)) * 2):
            fleet.serve(f"s{n}", dc)
        key = fleet.key("north")["key"]
        count = len(fleet.servers)
        wait_for("servers", lambda: fleet.alive_servers() == count)
        load = Load(fleet, "quotes", key, list(range(1, 7)), threads=12)
        wait_for("answers", lambda: len(load.outcomes) > 300)
        outcomes = load.stop()
        self.assertEqual(invariants.refusals(outcomes), {})
        invariants.check_answers(self, outcomes, fleet.history())

    def test_four_data_centres(self):
        self.serve(FOUR, 20000)

    def test_three_data_centres(self):
        self.serve(THREE, 20000)


if __name__ == "__main__":
    unittest.main()
