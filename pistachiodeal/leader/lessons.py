"""What a leader has learnt outlives it, as one row of the store.

The failure that this answers: five changes of the leader within 40 s, and everything
down at once near the end. Each successor took every pair of images for untried, and
found out at the cost of serving tasks over their aim what its predecessor had known.
"""

from __future__ import annotations

from dataclasses import astuple, dataclass, fields

import curio
import orjson
from logbook import Logger

from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError, StoreError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.leader.commits import CONTROL_TABLE, CommitLog
from pistachiodeal.scheduling.durations import DurationFit, DurationModel
from pistachiodeal.scheduling.interference import InterferenceModel, PairEstimate
from pistachiodeal.store.row_store import RowStore, RowWrite, read_row

log = Logger("lessons")

LESSONS_KEY = "lessons"
# A pair is known after a second or two, so this loses little; one small write.
KEEP_S = 2.0
RETRY_S = 0.2
# Writes of one partition wait for each other. On a store that takes this long, and not
# some 5 ms, jobs go first.
SLOW_WRITE_S = 0.1
# 40 bytes a pair and 80 a queue: far below what a row may hold.
MOST_LESSONS = 500
MOST_QUEUES = 100
FIT_FIGURES = len(fields(DurationFit))


@dataclass(frozen=True, slots=True)
class Lessons:
    """All that a leader leaves to its successor.

    :param pairs: which images disturb each other.
    :param durations: how long tasks take, by queue.
    """

    pairs: list[PairEstimate]
    durations: dict[str, DurationFit]


class LessonKeeper:
    """Reads what a predecessor has learnt, and writes what this leader learns."""

    def __init__(
        self,
        store: RowStore,
        commits: CommitLog,
        model: InterferenceModel,
        durations: DurationModel,
        events: EventLog,
    ) -> None:
        self._store = store
        self._commits = commits
        self._model = model
        self._durations = durations
        self._events = events

    async def run(self) -> None:
        """Read once, then write for ever.

        :raises FencedError: another process leads now.
        """
        while not await self._load():
            await curio.sleep(RETRY_S)
        written = b""
        while True:
            await curio.sleep(KEEP_S)
            value = encode_lessons(self._collect())
            if value == written or self._commits.last_write_s > SLOW_WRITE_S:
                continue
            if await self._commits.keep(RowWrite(CONTROL_TABLE, LESSONS_KEY, value)):
                written = value

    def _collect(self) -> Lessons:
        newest = list(self._durations.fits.items())[-MOST_QUEUES:]
        return Lessons(self._model.list_estimates(MOST_LESSONS), dict(newest))

    async def _load(self) -> bool:
        try:
            page = await read_row(self._store, CONTROL_TABLE, LESSONS_KEY)
        except StoreError as error:
            log.debug("lessons: cannot read them yet: {}", error)
            return False
        for row in page.rows:
            try:
                lessons = decode_lessons(row.value)
            except ProtocolError as error:
                self._events.emit(
                    "row.unreadable", table=CONTROL_TABLE, key=row.key, cause=str(error)
                )
                continue
            self._model.adopt(lessons.pairs)
            for queue, fit in lessons.durations.items():
                self._durations.adopt(queue, fit)
            self._events.emit(
                "lessons.adopted",
                pairs=len(lessons.pairs),
                queues=len(lessons.durations),
            )
        return True


def encode_lessons(lessons: Lessons) -> bytes:
    """Return the value of the row."""
    pairs = [
        [one.filling, one.serving, round(one.interference, 2), round(one.variance, 3)]
        for one in lessons.pairs
    ]
    durations = {
        queue: [round(figure, 3) for figure in astuple(fit)]
        for queue, fit in lessons.durations.items()
    }
    return orjson.dumps({"pairs": pairs, "durations": durations})


def decode_lessons(value: bytes) -> Lessons:
    """Return what a row says.

    :raises ProtocolError: the value was not written by this project.
    """
    try:
        document = orjson.loads(value)
        pairs = [PairEstimate(*fields) for fields in document["pairs"]]
        durations = {
            queue: DurationFit(*figures)
            for queue, figures in document["durations"].items()
        }
        if any(
            len(figures) != FIT_FIGURES for figures in document["durations"].values()
        ):
            raise ValueError("a queue has too few figures, or too many")
        for one in (*pairs, *durations.values()):
            check_fields(one)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise ProtocolError(repr(error), step="lessons.decode") from error
    return Lessons(pairs, durations)
