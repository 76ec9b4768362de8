"""Persists what a leader has learned in one row of the store, for its successor.

Without it, each new leader treats every pair of images as untried, and learns again
which ones interfere while serving tasks exceed their latency target. Five changes of
the leader within 40 s and a complete restart have shown this.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, field, fields
from typing import Any

import curio
import orjson
from logbook import Logger

from pistachiodeal.clock import read_boot_clock
from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError, StoreError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.leader.commits import CONTROL_TABLE, FencedWriter
from pistachiodeal.leader.learned_periods import (
    MAX_PERIODS,
    decode_periods,
    encode_periods,
)
from pistachiodeal.leader.speed_monitor import SpeedMonitor
from pistachiodeal.leader.speed_row import decode_speeds, encode_speeds
from pistachiodeal.malformed import MALFORMED, describe
from pistachiodeal.scheduling.durations import DurationFit, DurationModel
from pistachiodeal.scheduling.interference import InterferenceModel, PairEstimate
from pistachiodeal.scheduling.load_forecast import PeriodEstimate, SlackForecaster
from pistachiodeal.store.row_store import RowStore, RowWrite, StoredRow, read_row

log = Logger("lessons")

LEARNED_STATE_KEY = "lessons"
# A pair is learned within a second or two, so losing this much costs little. The write
# is small.
SAVE_INTERVAL_S = 2.0
RETRY_S = 0.2
# Writes to one partition wait for each other. If a write takes this long instead of
# about 5 ms, jobs take precedence.
SLOW_WRITE_S = 0.1
# At 40 bytes for a pair and 80 for a queue, the row stays far below the size limit.
MAX_PAIRS = 500
MAX_QUEUES = 100
# Estimates stay far below these, and messages and squares of them don't overflow.
MAX_INTERFERENCE = 1e5
MAX_FIGURE = 1e9
# Figures are rounded to three digits.
MIN_FIT_TASKS = 0.001
FIT_FIELD_COUNT = len(fields(DurationFit))


@dataclass(frozen=True, slots=True)
class LearnedState:
    """Everything that a leader passes on to its successor.

    :param pairs: which images interfere with each other.
    :param durations: how long tasks take, by queue.
    :param speeds: relative speeds of slow workers, by place.
    :param periods: of the load of serving images.
    """

    pairs: list[PairEstimate]
    durations: dict[str, DurationFit]
    speeds: dict[str, float] = field(default_factory=dict)
    periods: list[PeriodEstimate] = field(default_factory=list)


class LearnedStatePersister:
    """Loads the learned state of the predecessor, then saves that of this leader.

    :param speeds: speeds of workers, None if they aren't used.
    :param forecaster: has the periods of serving load, None if these aren't used.
    """

    def __init__(
        self,
        store: RowStore,
        writer: FencedWriter,
        model: InterferenceModel,
        durations: DurationModel,
        events: EventLog,
        *,
        speeds: SpeedMonitor | None = None,
        forecaster: SlackForecaster | None = None,
    ) -> None:
        self._speeds = speeds
        self._forecaster = forecaster
        self._store = store
        self._writer = writer
        self._model = model
        self._durations = durations
        self._events = events

    async def run(self) -> None:
        """Load the state once, then save it whenever it changes.

        :raises FencedError: another process leads now.
        """
        while not await self._load():
            await curio.sleep(RETRY_S)
        written = b""
        while True:
            await curio.sleep(SAVE_INTERVAL_S)
            value = encode_learned_state(self._collect())
            if value == written or self._writer.last_write_s > SLOW_WRITE_S:
                continue
            if await self._writer.write_rows(
                RowWrite(CONTROL_TABLE, LEARNED_STATE_KEY, value)
            ):
                written = value

    def _collect(self) -> LearnedState:
        newest = list(self._durations.fits.items())[-MAX_QUEUES:]
        learned = LearnedState(self._model.list_estimates(MAX_PAIRS), dict(newest))
        if self._speeds is not None:
            learned.speeds.update(self._speeds.model.list_slow())
        if self._forecaster is not None:
            learned.periods.extend(self._forecaster.list_periods(MAX_PERIODS))
        return learned

    async def _load(self) -> bool:
        try:
            page = await read_row(self._store, CONTROL_TABLE, LEARNED_STATE_KEY)
        except StoreError as error:
            log.debug("lessons: cannot read the learned state yet: {}", error)
            return False
        for row in page.rows:
            with self._events.confine("row.failed", table=CONTROL_TABLE, key=row.key):
                self._adopt_features(row.key, row.value)
                self._adopt(row)
        return True

    def _adopt(self, row: StoredRow) -> None:
        try:
            learned = decode_learned_state(row.value)
        except ProtocolError as error:
            self._report_unreadable(row.key, error)
            return
        self._model.adopt(learned.pairs)
        for queue, fit in learned.durations.items():
            self._durations.adopt(queue, fit)
        self._events.emit(
            "lessons.adopted",
            pairs=len(learned.pairs),
            queues=len(learned.durations),
        )

    def _adopt_features(self, key: str, value: bytes) -> None:
        """Adopt what optional features have learned, each by itself."""
        try:
            if self._speeds is not None:
                self._speeds.adopt(decode_speeds(value), read_boot_clock())
        except ProtocolError as error:
            self._report_unreadable(key, error)
        try:
            if self._forecaster is not None:
                self._forecaster.adopt(decode_periods(value))
        except ProtocolError as error:
            self._report_unreadable(key, error)

    def _report_unreadable(self, key: str, error: ProtocolError) -> None:
        self._events.emit(
            "row.unreadable", table=CONTROL_TABLE, key=key, cause=str(error)
        )


def encode_learned_state(learned: LearnedState) -> bytes:
    """Return the value to store in the row."""
    pairs = [
        [
            pair.filling,
            pair.serving,
            round(pair.interference, 2),
            round(pair.variance, 3),
        ]
        for pair in learned.pairs
    ]
    durations = {
        queue: [round(figure, 3) for figure in astuple(fit)]
        for queue, fit in learned.durations.items()
    }
    document: dict[str, Any] = {
        "pairs": pairs,
        "durations": durations,
        **encode_speeds(learned.speeds),
    }
    if learned.periods:
        document["periods"] = encode_periods(learned.periods)
    return orjson.dumps(document)


def decode_learned_state(value: bytes) -> LearnedState:
    """Decode the value of the row.

    :raises ProtocolError: the value is malformed.
    """
    try:
        document = orjson.loads(value)
        pairs = [PairEstimate(*fields) for fields in document["pairs"]]
        durations = {
            queue: DurationFit(*figures)
            for queue, figures in document["durations"].items()
        }
        if any(
            len(figures) != FIT_FIELD_COUNT
            for figures in document["durations"].values()
        ):
            raise ValueError("a queue has too few or too many figures")
        for item in (*pairs, *durations.values()):
            check_fields(item)
        _check_bounds(pairs, durations)
    except MALFORMED as error:
        raise ProtocolError(describe(error), step="lessons.decode") from error
    return LearnedState(pairs, durations)


def _check_bounds(pairs: list[PairEstimate], durations: dict[str, DurationFit]) -> None:
    """Check that estimates can be computed with.

    :raises ValueError: a figure is out of bounds.
    """
    for pair in pairs:
        if abs(pair.interference) > MAX_INTERFERENCE or not (
            0 <= pair.variance <= MAX_FIGURE
        ):
            raise ValueError("a figure of a pair is out of bounds")
    for fit in durations.values():
        if max(abs(figure) for figure in astuple(fit)) > MAX_FIGURE or not (
            fit.tasks == 0 or fit.tasks >= MIN_FIT_TASKS
        ):
            raise ValueError("a figure of a queue is out of bounds")
