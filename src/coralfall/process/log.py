"""Logs: one line of ``key=value`` pairs for each event, by eliot.

An event has a stable dotted name and fields::

    log.info("lease.lapsed", entry=entry_id, age_s=6.2)

which gives::

    time=2026-01-31T09:30:00.000Z level=info event=lease.lapsed entry=e1 age_s=6.2

Values are quoted and escaped where needed, so that one event is one line whatever is in it.
Warnings and errors that libraries log by :mod:`logging` come out as ``library.message``.
"""

import asyncio
import atexit
import enum
import logging
import re
import sys
import time
import traceback
import typing as t

import eliot

from .linewriter import LineWriter

if t.TYPE_CHECKING:
    from ..settings import LogSettings

LevelName = t.Literal["debug", "info", "warning", "error"]
Record = t.Mapping[str, t.Any]

_RANK_BY_LEVEL: t.Dict[str, int] = {"debug": 10, "info": 20, "warning": 30, "error": 40}
_DEBUG = _RANK_BY_LEVEL["debug"]
_INFO = _RANK_BY_LEVEL["info"]
_WARNING = _RANK_BY_LEVEL["warning"]

#: Keys that each line starts with; a field of the same name gets ``_`` appended.
_LEADING_KEYS = frozenset({"time", "level", "event"})
_TIME_KEY = "timestamp"
_EVENT_KEY = "message_type"
_LEVEL_KEY = "_level"
_ELIOT_KEYS = frozenset({_TIME_KEY, _EVENT_KEY, _LEVEL_KEY, "task_uuid", "task_level"})

_BARE_VALUE = re.compile(r"[A-Za-z0-9_.:/@%+,*~^!?()\[\]{}<>|;&$#-]+")
_BAD_IN_KEY = re.compile(r"[^A-Za-z0-9_.-]")
_ESCAPES = {"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"}


class _LineDestination:
    """Writes each eliot message at or above a level to a stream, as one line."""

    def __init__(self, stream: t.TextIO, level: str) -> None:
        self._stream = stream
        self.rank = _RANK_BY_LEVEL[level]

    def __call__(self, message: Record) -> None:
        if _RANK_BY_LEVEL[_level_of(message)] < self.rank:
            return
        self._stream.write(render(message) + "\n")
        self._stream.flush()


class _DescriptorDestination:
    """Hands each eliot message at or above a level to a :class:`LineWriter`, as one line."""

    def __init__(self, descriptor: int, level: str) -> None:
        self.rank = _RANK_BY_LEVEL[level]
        self.writer = LineWriter(descriptor, _dropped_line)
        atexit.register(self.writer.close)

    def __call__(self, message: Record) -> None:
        rank = _RANK_BY_LEVEL[_level_of(message)]
        if rank < self.rank:
            return
        self.writer.write(render(message), urgent=rank >= _WARNING)


def _dropped_line(count: int) -> str:
    return render(
        {
            _TIME_KEY: time.time(),
            _EVENT_KEY: "log.dropped",
            _LEVEL_KEY: "warning",
            "lines": count,
        }
    )


class _LibraryHandler(logging.Handler):
    """Turns what libraries log into events."""

    def emit(self, record: logging.LogRecord) -> None:
        if _is_cancelled_application(record):
            return
        try:
            message = record.getMessage()
        except (TypeError, ValueError, KeyError):
            # The arguments don't fit the format.
            message = f"{record.msg} {record.args}"
        fields: t.Dict[str, t.Any] = {"logger": record.name, "message": message}
        # asyncio logs with ``exc_info=False``, which the record keeps as it is.
        exception = record.exc_info[1] if record.exc_info else None
        if exception is not None:
            fields["error"] = exception
            fields["traceback"] = "".join(traceback.format_exception(exception))
        if record.levelno >= logging.ERROR:
            error("library.message", **fields)
        else:
            warning("library.message", **fields)


def _is_cancelled_application(record: logging.LogRecord) -> bool:
    """Whether a record tells of a request that was cancelled, which has a line of its own."""
    if record.name != "uvicorn.error" or not record.exc_info:
        return False
    return isinstance(record.exc_info[1], asyncio.CancelledError)


#: Up to how many things that happen at once get a line each.
SINGLE_LINES = 8
#: Names in one line of :func:`many`.
_NAMES_A_LINE = 200

_logger = eliot.Logger()
_library_handler = _LibraryHandler(logging.WARNING)
_destination: t.Union[_LineDestination, _DescriptorDestination, None] = None
_rank = _INFO
_identity: t.Dict[str, str] = {}


def configure(settings: "LogSettings", stream: t.Optional[t.TextIO] = None) -> None:
    """Send events to ``stream`` from now on; earlier ones, up to a thousand, come out first.

    :param settings: which levels to write; what is below costs next to nothing.
    :param stream: flushed after each line. Without one, lines go to standard output, bounded in
        number and without ever waiting for its reader; see :mod:`coralfall.process.linewriter`.
    """
    global _destination, _rank
    _rank = _RANK_BY_LEVEL[settings.level]
    previous = _destination
    _destination = _new_destination(settings.level, stream)
    if previous is not None:
        eliot.remove_destination(previous)
    eliot.add_destinations(_destination)
    # Adding it again changes nothing.
    logging.getLogger().addHandler(_library_handler)


def set_level(settings: "LogSettings") -> None:
    """Write events of other levels from now on, to where they go already."""
    global _rank
    _rank = _RANK_BY_LEVEL[settings.level]
    if _destination is not None:
        _destination.rank = _rank


def identify(**fields: str) -> None:
    """Give every event of this process these fields, so that lines of several can be told apart."""
    _identity.clear()
    _identity.update(fields)


def close() -> None:
    """Write what waits to be written, as far as its reader takes it within a moment."""
    if isinstance(_destination, _DescriptorDestination):
        _destination.writer.close()


def dropped_lines() -> int:
    """Lines that were not written since the start."""
    if isinstance(_destination, _DescriptorDestination):
        return _destination.writer.dropped
    return 0


def _new_destination(
    level: str, stream: t.Optional[t.TextIO]
) -> t.Union[_LineDestination, _DescriptorDestination]:
    if stream is not None:
        return _LineDestination(stream, level)
    try:
        return _DescriptorDestination(sys.stdout.fileno(), level)
    except (OSError, ValueError):
        # Standard output was replaced by something that is no file.
        return _LineDestination(sys.stdout, level)


def debug(event: str, /, **fields: t.Any) -> None:
    """Log what only a developer needs."""
    if _rank > _DEBUG:
        return
    _write(event, "debug", fields)


def info(event: str, /, **fields: t.Any) -> None:
    """Log what an operator wants to read later."""
    if _rank > _INFO:
        return
    _write(event, "info", fields)


def many(event: str, field: str, names: t.Sequence[str], /, **fields: t.Any) -> None:
    """Log the same of many things in few lines, each with some of their names.

    :param field: what the names are called.
    """
    for first in range(0, len(names), _NAMES_A_LINE):
        some = names[first : first + _NAMES_A_LINE]
        info(event, count=len(some), **fields, **{field: ",".join(some)})


def warning(event: str, /, **fields: t.Any) -> None:
    """Log what went wrong but was dealt with."""
    if _rank > _WARNING:
        return
    _write(event, "warning", fields)


def error(event: str, /, **fields: t.Any) -> None:
    """Log what went wrong and needs somebody."""
    _write(event, "error", fields)


def _write(event: str, level: LevelName, fields: t.Dict[str, t.Any]) -> None:
    # Logger.write and not log_message: the latter makes an action with a random id for each
    # message, ten times the cost, and the ids aren't rendered.
    record: t.Dict[str, t.Any] = {
        _TIME_KEY: time.time(),
        _EVENT_KEY: event,
        _LEVEL_KEY: level,
        **_identity,
    }
    for key, value in fields.items():
        record[f"{key}_" if key in _ELIOT_KEYS else key] = value
    _logger.write(record)


def _level_of(message: Record) -> str:
    # Messages without a level are eliot's own, about a destination that failed.
    level = message.get(_LEVEL_KEY, "error")
    return level if level in _RANK_BY_LEVEL else "error"


def render(message: Record) -> str:
    """One line, without its end, for an eliot message."""
    parts = [
        f"time={_format_time(message.get(_TIME_KEY, 0.0))}",
        f"level={_level_of(message)}",
        f"event={_format_value(message.get(_EVENT_KEY, ''))}",
    ]
    for key, value in message.items():
        if key in _ELIOT_KEYS:
            continue
        parts.append(f"{_format_key(key)}={_format_value(value)}")
    return " ".join(parts)


def _format_time(seconds: float) -> str:
    whole, milliseconds = divmod(int(seconds * 1000), 1000)
    return time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(whole)) + f".{milliseconds:03d}Z"


def _format_key(key: str) -> str:
    key = _BAD_IN_KEY.sub("_", key) or "_"
    return f"{key}_" if key in _LEADING_KEYS else key


def _format_value(value: t.Any) -> str:
    text = _as_text(value)
    if _BARE_VALUE.fullmatch(text):
        return text
    return '"' + "".join([_escape(character) for character in text]) + '"'


def _as_text(value: t.Any) -> str:
    try:
        if isinstance(value, str) and not isinstance(value, enum.Enum):
            return value
        if value is None:
            return "null"
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, enum.Enum):
            return str(value.value)
        if isinstance(value, bytes):
            return value.decode("utf-8", "backslashreplace")
        if isinstance(value, BaseException):
            return f"{type(value).__name__}: {value}"
        return str(value)
    except Exception:
        return f"<{type(value).__name__} that can't be shown>"


def _escape(character: str) -> str:
    if character in _ESCAPES:
        return _ESCAPES[character]
    if character.isprintable():
        return character
    code = ord(character)
    return f"\\u{code:04x}" if code <= 0xFFFF else f"\\U{code:08x}"
