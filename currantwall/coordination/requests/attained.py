"""Service that organisations have attained while capacity was short.

The load pattern: one organisation sends many times its share, and again at
once after each refusal, through a hundred nodes that each see one request
a second. In the order of arrival it takes most slots, and the requests of
all other organisations become late behind its own.

Each node counts the cost of the requests that it starts, by organisation,
and reports the counts to the other nodes while requests wait. A request of
an organisation that has attained more than an equal part of the service
starts after the requests of those that have attained less, and leaves a
part of each replica to them. What the others don't use it still gets.

The counts of one kind of request are kept in a sketch of fixed size, so
that neither the state of a node nor its reports grow with the number of
organisations. Two organisations that share a counter in one row rarely
share one in the other, and the smaller count is used.
"""

from collections import abc
import math

from currantwall.state import hashing
from currantwall.state import ids

__all__ = ["AttainedService"]

# Hash values by which reports name kinds; few kinds exist.
_KIND_HASHES = 4096
_ROWS = 2
_COUNTERS_PER_ROW = 64
# Time constant, in seconds, with which attained service is forgotten:
# several times the age of the other nodes' counts, which must still hold
# when they arrive.
_ATTAINED_SECONDS = 4.0
# Factor between two levels of attained service. Organisations of equal
# demand differ by less.
_LEVEL_FACTOR = 1.25
# Counters below this part of the largest don't count as organisations that
# take part: they have all but stopped sending.
_MIN_PART = 0.02
# Seconds after requests have waited for which capacity counts as short:
# about the age of the other nodes' counts.
_SHORTAGE_SECONDS = 1.0
# Replica time of one reported unit, in seconds; a request takes several.
_UNIT_SECONDS = 0.01
# Seconds for which the sums over all nodes are kept: much less than the age
# of the counts.
_CACHE_SECONDS = 0.05
# Decays after which the weights of new counts are reset.
_MAX_EXPONENT = 10.0
# Most names of organisations whose counters are remembered.
_MAX_NAMES = 4096


class _Counters:
    """Own counters of one kind of request, which decay exponentially.

    Counts are stored relative to `started`: a new count grows in weight
    instead of all others being reduced, so that an update costs the same
    whatever the number of counters.
    """

    def __init__(self, now: float) -> None:
        self._counts: dict[int, float] = {}
        self._started = now

    def add(self, index: int, seconds: float, now: float) -> None:
        elapsed = now - self._started
        if elapsed > _MAX_EXPONENT * _ATTAINED_SECONDS:
            self.list_units(now)
            elapsed = 0.0
        weight = math.exp(elapsed / _ATTAINED_SECONDS)
        self._counts[index] = self._counts.get(index, 0.0) + seconds * weight

    def list_units(self, now: float) -> dict[int, int]:
        """Return the counts in whole units; drop those that are 0."""
        factor = math.exp((self._started - now) / _ATTAINED_SECONDS)
        reduced = {
            index: count * factor for index, count in self._counts.items()
        }
        self._started = now
        self._counts = {
            index: count
            for index, count in reduced.items()
            if count >= _UNIT_SECONDS
        }
        return {
            index: int(count / _UNIT_SECONDS)
            for index, count in self._counts.items()
        }


class _Sketch:
    """Counters of all kinds and nodes, as one node knows them."""

    def __init__(self, get_remote: abc.Callable[[str], int]) -> None:
        self._get_remote = get_remote
        self._counters: dict[str, _Counters] = {}
        # The keys of each kind's counters, and the sums over all nodes as of
        # a time; both are caches.
        self._keys: dict[str, list[str]] = {}
        self._sums: dict[str, tuple[float, list[int]]] = {}

    def _get_counters(self, kind: str, now: float) -> _Counters:
        counters = self._counters.get(kind)
        if counters is None:
            counters = self._counters[kind] = _Counters(now)
        return counters

    def add(
        self, kind: str, indexes: tuple[int, ...], seconds: float, now: float
    ) -> None:
        """Add a cost to an organisation's counters."""
        counters = self._get_counters(kind, now)
        for index in indexes:
            counters.add(index, seconds, now)

    def sum_rows(self, kind: str, now: float) -> list[list[int]]:
        """Return the counts of all nodes, by row."""
        cached = self._sums.get(kind)
        if cached is None or now - cached[0] >= _CACHE_SECONDS:
            own = self._get_counters(kind, now).list_units(now)
            sums = [
                own.get(index, 0) + self._get_remote(key)
                for index, key in enumerate(self._list_keys(kind))
            ]
            cached = self._sums[kind] = now, sums
        sums = cached[1]
        return [
            sums[start : start + _COUNTERS_PER_ROW]
            for start in range(0, len(sums), _COUNTERS_PER_ROW)
        ]

    def list_counts(self, kind: str, now: float) -> dict[str, int]:
        """Return the counts of a kind to report to the other nodes."""
        keys = self._list_keys(kind)
        units = self._get_counters(kind, now).list_units(now)
        return {keys[index]: count for index, count in units.items()}

    def _list_keys(self, kind: str) -> list[str]:
        """Return the keys under which a kind's counts are reported.

        They are sent in one mapping with the counts by upstream. The
        leading slash keeps them apart: no upstream's id begins with one.
        """
        keys = self._keys.get(kind)
        if keys is None:
            prefix = f"/{hashing.hash_text(kind) % _KIND_HASHES:x}"
            keys = self._keys[kind] = [
                f"{prefix}/{index}"
                for index in range(_ROWS * _COUNTERS_PER_ROW)
            ]
        return keys


class AttainedService:
    """The attained service at all nodes, as one node knows it.

    All times are monotonic, in seconds. A kind is the service and model of
    requests; costs are in seconds of a replica's time.
    """

    def __init__(self, get_remote: abc.Callable[[str], int]) -> None:
        """Create an account without any service.

        Args:
            get_remote: Returns the sum of the other nodes' counts under
                a key.
        """
        self._attained = _Sketch(get_remote)
        # Until when requests of each kind count as short of capacity.
        self._short_until: dict[str, float] = {}
        self._indexes: dict[ids.OrganisationName, tuple[int, ...]] = {}

    # -- Input

    def note_start(
        self,
        kind: str,
        organisation: ids.OrganisationName,
        seconds: float,
        now: float,
    ) -> None:
        """Record the cost of a request that was given a slot."""
        indexes = self._find_indexes(organisation)
        self._attained.add(kind, indexes, seconds, now)

    def note_waiting(self, kind: str, now: float) -> None:
        """Record that requests of a kind wait, here or at another node."""
        self._short_until[kind] = now + _SHORTAGE_SECONDS

    def _find_indexes(
        self, organisation: ids.OrganisationName
    ) -> tuple[int, ...]:
        """Return the counter of an organisation in each row."""
        indexes = self._indexes.get(organisation)
        if indexes is None:
            if len(self._indexes) >= _MAX_NAMES:
                self._indexes.clear()
            hashed = hashing.hash_text(organisation)
            indexes = tuple(
                row * _COUNTERS_PER_ROW
                + (hashed // _COUNTERS_PER_ROW**row) % _COUNTERS_PER_ROW
                for row in range(_ROWS)
            )
            self._indexes[organisation] = indexes
        return indexes

    # -- Decisions

    def is_short(self, kind: str, now: float) -> bool:
        """Return whether requests of a kind have waited a moment ago."""
        return now < self._short_until.get(kind, -math.inf)

    def find_level(
        self, kind: str, organisation: ids.OrganisationName, now: float
    ) -> int:
        """Return how far an organisation is over its share of a kind.

        Returns:
            0 if it has attained no more than an equal part, or if capacity
            isn't short; else a number that rises with the logarithm of
            what it has attained.
        """
        if not self.is_short(kind, now):
            return 0
        ratio = math.inf
        rows = self._attained.sum_rows(kind, now)
        indexes = self._find_indexes(organisation)
        for row, index in zip(rows, indexes, strict=True):
            largest = max(row)
            if not largest:
                return 0
            parts = sum(count > _MIN_PART * largest for count in row)
            own = row[index % _COUNTERS_PER_ROW]
            ratio = min(ratio, own * parts / sum(row))
        if ratio <= _LEVEL_FACTOR:
            return 0
        return int(math.log(ratio) / math.log(_LEVEL_FACTOR))

    # -- Counts reported to other nodes

    def list_counts(self, now: float) -> dict[str, int]:
        """Return the counts to report, of kinds that are short only."""
        counts = {}
        for kind, until in self._short_until.items():
            if now < until:
                counts.update(self._attained.list_counts(kind, now))
        return counts
