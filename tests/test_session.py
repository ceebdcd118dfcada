"""A whole session through the pure parts, compared with a golden file.

``UPDATE_GOLDEN=1 python -m tests tests.test_session`` writes the files
anew; the change is then reviewed like any other.
"""

import os
import pathlib
import unittest

from currantwall.coordination import actions
from currantwall.coordination import part
from currantwall.coordination.profiles import edits
from currantwall.coordination.requests import homes
from currantwall.state import ids
from standins import sites
from standins import virtual

_GOLDEN = pathlib.Path(__file__).parent / "golden"
_SHOWN_ACTIONS = (
    actions.Record,
    actions.Reply,
    actions.SendOrder,
    actions.WriteObject,
)
_PROFILE = """
[profile counter]
model = aftercare
replicas = 2
replica_size = 2
capacity = 16
"""


def describe(action: part.Action) -> str:
    """Return one line of an action."""
    if isinstance(action, actions.Record):
        text = f"{action.kind.value} {action.subject} {action.detail}"
        return f"record {text}".rstrip()
    if isinstance(action, actions.WriteObject):
        value = action.value.decode() or "(delete)"
        return f"write {action.key} expecting {action.expected}: {value}"
    if isinstance(action, actions.SendOrder):
        order = action.order
        return (
            f"order {action.instance}: {order.kind.value} {order.replica}"
            f" generation {order.generation} epoch {order.epoch}"
        )
    return f"reply {action}"


def render(world: virtual.World) -> str:
    """Return what all nodes were asked and did, in order of time."""
    lines = []
    for host in world.hosts.values():
        for at, message, found in host.trace:
            shown = [one for one in found if isinstance(one, _SHOWN_ACTIONS)]
            if not shown:
                continue
            topic = message.topic.__name__
            lines.append((at, f"{at:9.4f} {host.name} <- {topic}"))
            for action in shown:
                text = f"{at:9.4f} {host.name}    {describe(action)}"
                lines.append((at, text))
    lines.sort(key=lambda line: line[0])
    return "\n".join(line for _, line in lines) + "\n"


_GATE = """
[profile gate]
model = manifest
service_class = critical
replicas = 1
replica_size = 2
capacity = 8
"""


class SessionTest(unittest.TestCase):
    maxDiff = None

    def compare(self, name: str, text: str) -> None:
        path = _GOLDEN / name
        if os.environ.get("UPDATE_GOLDEN"):
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
        self.assertEqual(path.read_text(), text)

    def test_fischmehlwerk_day(self) -> None:
        # A lot is booked at the gate, asked for again elsewhere, the
        # platform goes down, another lot is booked, and the home of the
        # first one dies. The engines ignore fencing numbers.
        domains = [
            sites.DomainSpec(
                name="fa",
                datacentre="passau",
                engines=3,
                checks_epoch=False,
            )
        ]
        entries = {"p1": "passau", "p2": "passau", "n1": "nuernberg"}
        extra = (
            "[replicas]\nepoch_checked = no\n"
            "[service bookings]\nidempotent = no\n"
        )
        world = sites.make_site(entries, domains, extra=extra, tracing=True)
        sites.add_service(world, "b1", "bookings", "passau")
        world.run(6.0)
        p1, n1 = world.hosts[ids.NodeId("p1")], world.hosts[ids.NodeId("n1")]
        sites.put_profile(n1, sites.parse(_GATE))
        world.run(30.0)
        prefix = p1.node.homes.make_prefix(world.now)
        self.book(p1, 11, prefix + "lot-1")
        self.book(n1, 12, prefix + "lot-1")
        world.platform.down = True
        world.run(50.0)
        self.book(p1, 13, prefix + "lot-2")
        p1.kill()
        world.run(60.0)
        self.book(n1, 14, prefix + "lot-1")
        world.platform.down = False
        world.run(90.0)
        kinds = [
            host.replies[ticket].kind.value  # type: ignore[attr-defined]
            for host, ticket in ((p1, 11), (n1, 12), (p1, 13), (n1, 14))
        ]
        wanted = ["dispatch", "forward", "dispatch", "unknown"]
        self.assertEqual(wanted, kinds)
        self.compare("fischmehlwerk_day.txt", render(world))

    @staticmethod
    def book(host: virtual.Host, ticket: int, key: str) -> None:
        """Offer a booking; if it is dispatched, it runs at once."""
        name = ids.KeyText(key)
        scope = "intake/bookings"
        host.tell(homes.CallOffered(ticket, name, scope, 1))
        decision = host.replies[ticket]
        assert isinstance(decision, homes.Decision)
        if decision.kind is homes.DecisionKind.DISPATCH:
            answer = homes.StoredAnswer(200, (), b"booked")
            done = homes.Outcome.DONE
            host.tell(homes.CallEnded(name, scope, done, answer))

    def test_northgate_day(self) -> None:
        # Three entries start, an operator applies a profile, two replicas
        # form; a member of one dies and is replaced by the spare.
        domains = [
            sites.DomainSpec(name="fa", datacentre="regina", engines=3),
            sites.DomainSpec(name="fb", datacentre="winnipeg", engines=3),
        ]
        entries = {"r1": "regina", "r2": "regina", "w1": "winnipeg"}
        world = sites.make_site(entries, domains, tracing=True)
        world.run(6.0)
        sites.put_profile(world.hosts[ids.NodeId("w1")], sites.parse(_PROFILE))
        world.run(30.0)
        reply = world.hosts[ids.NodeId("w1")].replies[1]
        self.assertEqual(edits.EditOutcome.ACCEPTED, reply.outcome)
        for host in world.hosts.values():
            route = sites.route(host, "counter")
            self.assertIn("counter-", getattr(route, "subject", str(route)))
        world.engines[ids.InstanceId("fa-1")].alive = False
        world.run(60.0)
        self.compare("northgate_day.txt", render(world))
