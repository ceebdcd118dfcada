"""How an engine instance handles orders, without sockets or a clock."""

from collections import abc

import msgspec

from currantwall.coordination import actions
from currantwall.state import ids
from currantwall.state import instances

__all__ = ["EngineModel", "WeightStore"]


class WeightStore:
    """A store of model weights that serves a limited number of loads.

    Args:
        slots: Instances that can load at the same time.
        load_time: Duration of one load, in seconds.
    """

    def __init__(self, slots: int, load_time: float) -> None:
        self._free_at = [0.0] * slots
        self._load_time = load_time
        self.loads = 0

    def reserve(self, now: float) -> float:
        """Queue a load at `now`; return the time at which it is done."""
        self.loads += 1
        slot = min(range(len(self._free_at)), key=self._free_at.__getitem__)
        start = max(now, self._free_at[slot])
        self._free_at[slot] = start + self._load_time
        return self._free_at[slot]


class EngineModel:
    """State of one engine instance.

    Args:
        instance: Its id.
        checks_epoch: Whether an order with an old epoch is refused.
        load: Returns the time at which a load requested now is done.
        started: Identifies this start of the process.
        start_time: Seconds that a new group needs to start after loading.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        checks_epoch: bool,
        load: abc.Callable[[float], float],
        started: int,
        start_time: float = 0.0,
    ) -> None:
        self.instance = instance
        self.running = 0
        self.order: actions.Order | None = None
        self._checks_epoch = checks_epoch
        self._load = load
        self._started = started
        self._start_time = start_time
        self._epoch = ids.Epoch(0)
        # The shard in memory: model, version, rank and group size, which
        # together decide what part of the model an instance holds.
        self._loaded: tuple[str, str, int, int] | None = None
        self._ready_at = 0.0

    def take_order(self, order: actions.Order, now: float) -> bool:
        """Apply an order; return False when it is fenced off."""
        if self._checks_epoch and order.epoch < self._epoch:
            return False
        self._epoch = max(self._epoch, order.epoch)
        if order.kind is actions.OrderKind.RELEASE:
            self.order = None
            return True
        if order.kind is actions.OrderKind.LOAD:
            self._load_adapters(order)
            return True
        if self._is_repeated(order):
            return True
        size = len(order.members)
        shard = (order.model, order.model_version, order.rank, size)
        done = now if self._loaded == shard else self._load(now)
        self._loaded = shard
        self._ready_at = done + self._start_time
        self.order = order
        return True

    def _load_adapters(self, order: actions.Order) -> None:
        """Load adapters, if the order names the current generation."""
        current = self.order
        if current is not None and current.generation == order.generation:
            self.order = msgspec.structs.replace(
                current, adapters=order.adapters
            )

    def _is_repeated(self, order: actions.Order) -> bool:
        current = self.order
        return (
            current is not None
            and current.replica == order.replica
            and current.generation == order.generation
        )

    def is_ready(self, now: float) -> bool:
        """Return whether it has a model loaded and its group started."""
        return self.order is not None and now >= self._ready_at

    def leads(self, now: float) -> bool:
        """Return whether it takes requests: ready, and of rank 0."""
        return (
            self.is_ready(now)
            and self.order is not None
            and self.order.rank == 0
        )

    def report(self, now: float) -> instances.Report:
        """Return the instance's report."""
        order = self.order
        if order is None:
            return instances.Report(
                instance=self.instance,
                started=self._started,
                epoch=self._epoch,
                running=self.running,
            )
        states = instances.ReportedState
        return instances.Report(
            instance=self.instance,
            started=self._started,
            state=states.READY if self.is_ready(now) else states.LOADING,
            replica=order.replica,
            generation=order.generation,
            model=order.model,
            model_version=order.model_version,
            adapters=order.adapters,
            epoch=self._epoch,
            running=self.running,
        )
