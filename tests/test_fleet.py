"""The processes that tests start."""

import unittest

from bench import fleet


class PortTest(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        """A caller's stream was answered with a list of instances.

        A gateway's second internal port had not been picked, was picked
        as the port for its callers, and the system gave each listener a
        part of the connections.
        """
        given = []
        for _ in range(20):
            given += [fleet.pick_port(), *fleet.pick_port_pair()]
            given.append(fleet.pick_port())
        self.assertEqual(len(set(given)), len(given))


if __name__ == "__main__":
    unittest.main()
