"""What decoding data of another writer may raise, and how it is described."""

from __future__ import annotations

MAX_DESCRIPTION = 200

# Deeply nested values exceed the recursion limit where they are compared or printed.
MALFORMED = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)


def describe(error: Exception) -> str:
    """Return a short text about an error; its values may be of any size or depth."""
    try:
        text = repr(error)
    except Exception:
        return type(error).__name__
    return shorten(text)


def shorten(text: str) -> str:
    """Return a text of limited length."""
    if len(text) <= MAX_DESCRIPTION:
        return text
    return f"{text[:MAX_DESCRIPTION]}… ({len(text)} characters)"
