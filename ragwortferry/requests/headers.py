"""Names of HTTP headers, and validation and filtering of headers."""

__all__ = [
    "ATTEMPT",
    "CLOCK",
    "DIGEST",
    "ERROR",
    "INSTANCE",
    "OUTCOME",
    "REQUEST_ID",
    "SECTION",
    "TARGET_LEAVING",
    "TARGET_REFUSED",
    "TIMEOUT_MS",
    "VERSION",
    "ZONE",
    "check_headers",
    "check_path",
    "end_to_end",
    "request_id_of",
    "timeout_of",
]

import re
import secrets
from collections.abc import Mapping

from multidict import CIMultiDict

from ragwortferry.exceptions import ErrorKind, RequestError

# Between callers and proxies, and between proxies and targets.
REQUEST_ID = "X-Request-Id"
TIMEOUT_MS = "X-Request-Timeout-Ms"

# On every response.
VERSION = "X-Ragwortferry-Version"
DIGEST = "X-Ragwortferry-Digest"
SECTION = "X-Ragwortferry-Section"
INSTANCE = "X-Ragwortferry-Instance"
ZONE = "X-Ragwortferry-Zone"
OUTCOME = "X-Ragwortferry-Outcome"
ERROR = "X-Ragwortferry-Error"

# Between entry and owner proxies.
ATTEMPT = "X-Ragwortferry-Attempt"
CLOCK = "X-Ragwortferry-Clock"

# From a target to its owner proxy.
TARGET_REFUSED = "X-Target-Refused"
TARGET_LEAVING = "X-Target-Leaving"

MAX_HEADER_BYTES = 16_384
REQUEST_ID_BYTES = 16
MAX_TIMEOUT_MS = 3_600_000

_REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
_DOT_SEGMENTS = frozenset((".", ".."))
_INTERNAL_PREFIX = "x-ragwortferry-"
_TARGET_HEADERS = frozenset((TARGET_REFUSED.lower(), TARGET_LEAVING.lower()))


def end_to_end(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return a copy without hop-by-hop headers and headers internal to the proxies."""
    connection = headers.get("Connection", "").lower()
    listed = {name.strip() for name in connection.split(",")} if connection else ()
    copy: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lower = name.lower()
        if lower in _HOP_BY_HOP or lower in listed or lower in _TARGET_HEADERS:
            continue
        if not lower.startswith(_INTERNAL_PREFIX):
            copy.add(name, value)
    return copy


def check_path(path: str) -> None:
    """Reject a path that a target could resolve to a different one.

    :param path: decoded path.
    :raises RequestError: of kind ``BAD_REQUEST``.
    """
    segments = path.split("/")
    absolute = path.startswith("/") and not path.startswith("//")
    if not absolute or not _DOT_SEGMENTS.isdisjoint(segments):
        raise RequestError(ErrorKind.BAD_REQUEST, "the path is malformed")


def check_headers(headers: Mapping[str, str]) -> None:
    """Reject a request whose headers exceed ``MAX_HEADER_BYTES`` in total.

    :raises RequestError: of kind ``HEADER_TOO_LARGE``.
    """
    size = sum(len(name) + len(value) for name, value in headers.items())
    if size > MAX_HEADER_BYTES:
        detail = f"headers have {size} bytes, the maximum is {MAX_HEADER_BYTES}"
        raise RequestError(ErrorKind.HEADER_TOO_LARGE, detail)


def request_id_of(headers: Mapping[str, str]) -> str:
    """Return the request id that the caller sent, or a new random one.

    :raises RequestError: of kind ``BAD_REQUEST`` if the caller's id is malformed.
    """
    request_id = headers.get(REQUEST_ID)
    if request_id is None:
        return secrets.token_hex(REQUEST_ID_BYTES)
    if not _REQUEST_ID_PATTERN.fullmatch(request_id):
        raise RequestError(ErrorKind.BAD_REQUEST, f"header {REQUEST_ID} is malformed")
    return request_id


def timeout_of(headers: Mapping[str, str], default_s: float) -> float:
    """Return the timeout of a request in seconds: the caller's, at most the default.

    :param default_s: timeout of the route.
    :raises RequestError: of kind ``BAD_REQUEST`` if the caller's timeout is malformed.
    """
    timeout_ms = headers.get(TIMEOUT_MS)
    if timeout_ms is None:
        return default_s
    if (
        not timeout_ms.isascii()
        or not timeout_ms.isdigit()
        or int(timeout_ms) > MAX_TIMEOUT_MS
    ):
        raise RequestError(ErrorKind.BAD_REQUEST, f"header {TIMEOUT_MS} is malformed")
    return min(default_s, int(timeout_ms) / 1000)
