"""Errors that cross module boundaries, each with a code, a step and a peer."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """What is known of the effect of a failed request or write."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class PistachiodealError(Exception):
    """Base class of all errors of this project.

    :cvar code: stable, machine-readable name of the error.
    :param detail: short human-readable description.
    :param step: the operation that failed, for example ``route`` or
        ``table.commit``.
    :param peer: name or address of the remote end, empty when there is none.
    """

    code = "internal"

    def __init__(self, detail: str = "", *, step: str = "", peer: str = "") -> None:
        super().__init__(detail or self.code)
        self.detail = detail or self.code
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f" step={self.step}" if self.step else ""
        whom = f" peer={self.peer}" if self.peer else ""
        return f"{self.code}: {self.detail}{where}{whom}"


class SettingsError(PistachiodealError):
    """The settings are invalid; the detail lists all errors."""

    code = "settings"


class ProtocolError(PistachiodealError):
    """A peer sent data that doesn't match this protocol or version."""

    code = "protocol"


class FrameTooLargeError(ProtocolError):
    """A peer announced a frame larger than the limit."""

    code = "frame_too_large"


class AuthenticationError(PistachiodealError):
    """A peer or operator did not present the right secret or token."""

    code = "unauthenticated"


class LinkClosedError(PistachiodealError):
    """The link to a peer is closed, or was closed while waiting on it."""

    code = "link_closed"


class LinkRefusedError(LinkClosedError):
    """Nothing listens at a peer's address: its process is not running."""

    code = "link_refused"


class LinkSilentError(LinkClosedError):
    """Nothing was received from a peer within the heartbeat timeout."""

    code = "link_silent"


class JobWithdrawnError(PistachiodealError):
    """A job was cancelled before its submission was stored: it never exists."""

    code = "job_cancelled"


class AdviceError(PistachiodealError):
    """The service that chooses workers gave no usable answer."""

    code = "advice"


class StoreError(PistachiodealError):
    """Base class of errors of the platform's table and object store.

    :ivar retry_after: seconds after which a retry may succeed.
    """

    code = "store"

    def __init__(
        self,
        detail: str = "",
        *,
        step: str = "",
        peer: str = "",
        retry_after: float = 1.0,
    ) -> None:
        super().__init__(detail, step=step, peer=peer)
        self.retry_after = retry_after


class StoreUnavailableError(StoreError):
    """The store refused the call or is unreachable: the call had no effect."""

    code = "store_unavailable"


class StoreRejectedError(StoreError):
    """The store rejected the call as it is: it had no effect, nor will a repetition."""

    code = "store_rejected"


class StoreUncertainError(StoreError):
    """The answer was lost or late: a write may or may not have taken effect."""

    code = "store_uncertain"


class FencedError(PistachiodealError):
    """A partition was taken over under a higher epoch; this owner must stop."""

    code = "fenced"


class WorkerError(PistachiodealError):
    """The worker's runtime refused a call, or could not be reached."""

    code = "worker"


class WorkerRefusedError(WorkerError):
    """The worker refused the call: it had no effect."""

    code = "worker_refused"


class WorkerFencedError(WorkerError):
    """Another agent has taken over this worker; this one must stop."""

    code = "worker_fenced"


class RequestError(PistachiodealError):
    """A caller's request that ends in a problem document (RFC 9457).

    :ivar status: HTTP status.
    :ivar outcome: what is known of the request's effect.
    :ivar retry_after: seconds after which to retry, None where that won't help.
    """

    code = "request"
    status = 500
    outcome = Outcome.NOT_RUN

    def __init__(
        self,
        detail: str = "",
        *,
        code: str = "",
        status: int = 0,
        outcome: Outcome | None = None,
        retry_after: float | None = None,
        step: str = "",
        peer: str = "",
    ) -> None:
        if code:
            self.code = code
        if status:
            self.status = status
        if outcome is not None:
            self.outcome = outcome
        self.retry_after = retry_after
        super().__init__(detail, step=step, peer=peer)
