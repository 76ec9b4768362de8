"""Exit statuses of the three programs."""

from __future__ import annotations

OK = 0
FAILURE = 1
BAD_USAGE = 2  # wrong arguments or settings
UNREACHABLE = 3
CONFLICT = 4
NOT_FOUND = 5
UNAUTHENTICATED = 6
NO_ANSWER = 69  # EX_UNAVAILABLE of sysexits.h

MEANINGS: dict[int, str] = {
    OK: "Done.",
    FAILURE: "The call was answered, but not with success; the message says why.",
    BAD_USAGE: "Wrong arguments or settings; nothing was started or sent.",
    UNREACHABLE: "No entry, or a part it needs, could be reached in time.",
    CONFLICT: "Somebody else changed it first, or it is still in use.",
    NOT_FOUND: "No such profile, service, task or job.",
    UNAUTHENTICATED: "The operators' token is missing or wrong.",
    NO_ANSWER: "An entry whose address was given to `job queues` did not answer.",
}
