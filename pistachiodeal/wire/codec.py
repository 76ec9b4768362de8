"""Encodes messages as Cap'n Proto frames and decodes them.

A converter is built once for each data class, from its fields and their types. The
schema is ``schema.capnp`` in this package.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import capnp

from pistachiodeal.exceptions import FrameTooLargeError, ProtocolError
from pistachiodeal.wire.handshake_messages import Challenge, Hello, Welcome
from pistachiodeal.wire.messages import Headers, Message, Request, Response

LENGTH_BYTES = 4
# Flag in a frame's length field: the message uses Cap'n Proto's packed encoding,
# which leaves out zero bytes.
PACKED_BIT = 1 << 31
MAX_FRAME_BYTES = 16 * 1024 * 1024
WORD_BYTES = 8
# Limits the memory that the library allocates for a packed frame: an unpacked message
# can be a thousand times larger than its frame.
MAX_UNPACKED_WORDS = 4 * 1024 * 1024 // WORD_BYTES
TRAVERSAL_WORDS = 4 * MAX_FRAME_BYTES // WORD_BYTES
HEADER_PAIR = tuple[str, str]

_SCHEMA = capnp.load(str(Path(__file__).with_name("schema.capnp")))

Setter = Callable[[Any, Any], None]
Getter = Callable[[Any], Any]


class _Converter:
    """Copies instances of one data class to and from its Cap'n Proto struct."""

    def __init__(self, cls: type) -> None:
        hints = get_type_hints(cls)
        names = [field.name for field in fields(cls)]
        self._cls = cls
        self._setters = [_build_setter(name, hints[name]) for name in names]
        self._getters = [_build_getter(name, hints[name]) for name in names]

    def write(self, builder: Any, value: Any) -> None:
        for setter in self._setters:
            setter(builder, value)

    def read(self, reader: Any) -> Any:
        return self._cls(*[getter(reader) for getter in self._getters])


_CONVERTERS: dict[type, _Converter] = {}


def _get_converter(cls: type) -> _Converter:
    if cls not in _CONVERTERS:
        _CONVERTERS[cls] = _Converter(cls)
    return _CONVERTERS[cls]


def _to_camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _is_record(hint: Any) -> bool:
    return is_dataclass(hint)


def _build_setter(name: str, hint: Any) -> Setter:
    camel = _to_camel(name)
    if _is_record(hint):
        converter = _get_converter(hint)
        return lambda b, v: converter.write(b.init(camel), getattr(v, name))
    if get_origin(hint) is tuple:
        item = get_args(hint)[0]
        if item == HEADER_PAIR:
            return lambda b, v: _write_pairs(b, camel, getattr(v, name))
        converter = _get_converter(item)
        return lambda b, v: _write_list(b, camel, converter, getattr(v, name))
    return lambda b, v: setattr(b, camel, getattr(v, name))


def _build_getter(name: str, hint: Any) -> Getter:
    camel = _to_camel(name)
    if _is_record(hint):
        converter = _get_converter(hint)
        return lambda r: converter.read(getattr(r, camel))
    if get_origin(hint) is tuple:
        item = get_args(hint)[0]
        if item == HEADER_PAIR:
            return lambda r: tuple([(p.name, p.value) for p in getattr(r, camel)])
        converter = _get_converter(item)
        return lambda r: tuple([converter.read(part) for part in getattr(r, camel)])
    return lambda r: getattr(r, camel)


def _write_pairs(builder: Any, camel: str, pairs: Headers) -> None:
    if not pairs:
        return
    rows = builder.init(camel, len(pairs))
    for row, (name, value) in zip(rows, pairs, strict=True):
        row.name = name
        row.value = value


def _write_list(
    builder: Any, camel: str, converter: _Converter, items: tuple[Any, ...]
) -> None:
    if not items:
        return
    rows = builder.init(camel, len(items))
    for row, item in zip(rows, items, strict=True):
        converter.write(row, item)


def _to_tag(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


# Messages in the unpacked encoding. The handshake is among them so that an
# unauthenticated peer cannot make this process unpack anything.
UNPACKED_MESSAGES = (
    Challenge,
    Hello,
    Welcome,
    Request,
    Response,
)
_TAGS = {cls: _to_tag(cls) for cls in get_args(Message)}
_CLASSES = {tag: _get_converter(cls) for cls, tag in _TAGS.items()}


def encode_message(message: Message) -> bytes:
    """Return the message as a frame: a four-byte length, then the message.

    Messages of the handshake and those that carry a caller's body are not packed. All
    others are packed, which halves their size.

    :raises ProtocolError: a value does not fit the schema's field.
    :raises FrameTooLargeError: the message exceeds :data:`MAX_FRAME_BYTES`.
    """
    cls = type(message)
    frame = _SCHEMA.Frame.new_message()
    try:
        _get_converter(cls).write(frame.init(_TAGS[cls]), message)
    except (capnp.KjException, OverflowError, TypeError, ValueError) as error:
        name = cls.__name__
        raise ProtocolError(
            f"{name} cannot be encoded: {type(error).__name__}", step="wire.encode"
        ) from None
    packed = cls not in UNPACKED_MESSAGES
    data = frame.to_bytes_packed() if packed else frame.to_bytes()
    if len(data) > MAX_FRAME_BYTES:
        raise FrameTooLargeError(f"{len(data)} bytes", step="wire.encode")
    length = len(data) | PACKED_BIT if packed else len(data)
    return length.to_bytes(LENGTH_BYTES, "big") + data


def parse_length(prefix: bytes | bytearray) -> tuple[int, bool]:
    """Return the length of a frame's message in bytes, and whether it is packed."""
    value = int.from_bytes(prefix, "big")
    return value & ~PACKED_BIT, bool(value & PACKED_BIT)


def decode_message(data: bytes, packed: bool = False) -> Message:
    """Decode a frame, given without its length field.

    :raises ProtocolError: the bytes are not a valid message of this protocol.
    """
    try:
        if packed:
            return _read_frame(
                _SCHEMA.Frame.from_bytes_packed(
                    data, traversal_limit_in_words=MAX_UNPACKED_WORDS
                )
            )
        with _SCHEMA.Frame.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_WORDS
        ) as frame:
            return _read_frame(frame)
    except (capnp.KjException, KeyError, ValueError, UnicodeError):
        # The library's error text contains stack addresses, which must not reach peers.
        raise ProtocolError("malformed frame", step="wire.decode") from None


def _read_frame(frame: Any) -> Message:
    tag = str(frame.which())
    message: Message = _CLASSES[tag].read(getattr(frame, tag))
    return message
