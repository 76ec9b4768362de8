"""What a leader has learnt of neighbours outlives it, as one row of the store.

The failure that this answers: five changes of the leader within 40 s, and everything
down at once near the end. Each successor took every pair of images for untried, and
found out at the cost of serving tasks over their aim what its predecessor had known.
"""

from __future__ import annotations

import curio
import orjson
from logbook import Logger

from pistachiodeal.events import EventLog
from pistachiodeal.exceptions import ProtocolError, StoreError
from pistachiodeal.jobs.checks import check_fields
from pistachiodeal.leader.commits import CONTROL_TABLE, CommitLog
from pistachiodeal.scheduling.interference import InterferenceModel, Lesson
from pistachiodeal.store.row_store import RowStore, RowWrite, read_row

log = Logger("lessons")

LESSONS_KEY = "lessons"
# A pair is known after a second or two, so this loses little; one small write.
KEEP_S = 2.0
RETRY_S = 0.2
# 40 bytes a pair: far below what a row may hold.
MOST_LESSONS = 500


class LessonKeeper:
    """Reads what a predecessor has learnt, and writes what this leader learns."""

    def __init__(
        self,
        store: RowStore,
        commits: CommitLog,
        model: InterferenceModel,
        events: EventLog,
    ) -> None:
        self._store = store
        self._commits = commits
        self._model = model
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
            value = encode_lessons(self._model.list_lessons(MOST_LESSONS))
            if value == written:
                continue
            if await self._commits.keep(RowWrite(CONTROL_TABLE, LESSONS_KEY, value)):
                written = value

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
            self._model.adopt(lessons)
            self._events.emit("lessons.adopted", pairs=len(lessons))
        return True


def encode_lessons(lessons: list[Lesson]) -> bytes:
    """Return the value of the row."""
    return orjson.dumps(
        [
            [one.filling, one.serving, round(one.press, 2), round(one.variance, 3)]
            for one in lessons
        ]
    )


def decode_lessons(value: bytes) -> list[Lesson]:
    """Return what a row says.

    :raises ProtocolError: the value was not written by this project.
    """
    try:
        lessons = [Lesson(*fields) for fields in orjson.loads(value)]
        for lesson in lessons:
            check_fields(lesson)
    except (ValueError, TypeError) as error:
        raise ProtocolError(repr(error), step="lessons.decode") from error
    return lessons
