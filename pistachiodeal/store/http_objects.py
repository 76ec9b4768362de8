"""HTTP client of the platform's object store."""

from __future__ import annotations

from urllib.parse import quote

from pistachiodeal.store.http_store import (
    NOT_FOUND,
    StoreCaller,
    create_store_caller,
)
from pistachiodeal.store.protocols import ObjectStore


class HttpObjectStore:
    """An :class:`ObjectStore` over HTTP; it doesn't retry."""

    def __init__(self, caller: StoreCaller) -> None:
        self._caller = caller

    async def put(self, key: str, data: bytes) -> None:
        """Store an object, replacing an existing one."""
        target = _build_target(key)
        await self._caller.call("objects.put", "PUT", target, data, changes=True)

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if it doesn't exist."""
        response = await self._caller.call(
            "objects.get", "GET", _build_target(key), changes=False, may_be_absent=True
        )
        return None if response.status == NOT_FOUND else response.body

    async def delete(self, key: str) -> None:
        """Remove an object if it exists."""
        await self._caller.call(
            "objects.delete",
            "DELETE",
            _build_target(key),
            changes=True,
            may_be_absent=True,
        )


def _build_target(key: str) -> str:
    return f"/objects/{quote(key)}"


def create_object_store(
    address: str, *, timeout: float, connections: int
) -> ObjectStore:
    """Return a client of the object store at ``ip:port``.

    :param timeout: seconds for one call.
    """
    return HttpObjectStore(create_store_caller(address, timeout, connections))
