"""HTTP/1.1 requests, headers and the encoding of message heads."""

__all__ = [
    "Headers",
    "Request",
    "encode_response_head",
    "encode_request",
    "end_to_end",
    "get_header",
]

from dataclasses import dataclass
from http import HTTPStatus

Headers = list[tuple[str, str]]

# Headers that are never forwarded: they concern one connection, or the framing of one
# message, which is set anew for each connection.
HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    )
)
# Responses with these statuses have no body.
BODYLESS_STATUSES = frozenset((204, 304))
CRLF = "\r\n"
REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


@dataclass(slots=True, eq=False)
class Request:
    """A complete request of a caller.

    :param target: request target (path and query) as it was sent.
    :param keep_alive: whether the caller allows further requests on the connection.
    :param arrived: loop time at which the first byte was read.
    :param accepts_chunks: whether the caller understands chunked transfer encoding.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool
    arrived: float
    accepts_chunks: bool = True

    @property
    def path(self) -> str:
        """Return the path of the target without the query."""
        return self.target.partition("?")[0]


def get_header(headers: Headers, name: str, default: str = "") -> str:
    """Return the first value of a header; names are case-insensitive.

    :param default: returned if the header is missing.

    >>> get_header([("Host", "a.example")], "host")
    'a.example'
    """
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return default


def end_to_end(headers: Headers, *exclude: str) -> Headers:
    """Return the end-to-end headers: those that a proxy forwards.

    Hop-by-hop headers are removed, also those that the Connection header lists.

    :param exclude: lower-case names of further headers to remove.

    >>> end_to_end([("Connection", "x-a"), ("X-A", "1"), ("B", "2")])
    [('B', '2')]
    """
    options = get_header(headers, "connection").lower().split(",")
    excluded = {name.strip() for name in options} | HOP_BY_HOP_HEADERS | set(exclude)
    return [item for item in headers if item[0].lower() not in excluded]


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Return an encoded request, framed by Content-Length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT", "PATCH"):
        lines.append(f"Content-Length: {len(body)}")
    return _encode_head(lines) + body


def encode_response_head(
    status: int,
    headers: Headers,
    length: int | None,
    close: bool,
    chunked: bool = True,
) -> bytes:
    """Return the encoded status line and headers of a response.

    :param length: length of the body, ``None`` if it is unknown.
    :param close: whether the connection closes after the response.
    :param chunked: whether a body of unknown length is sent in chunks; otherwise the
        end of the connection delimits it.
    """
    lines = [f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if length is None and chunked:
        lines.append("Transfer-Encoding: chunked")
    elif length is not None and status not in BODYLESS_STATUSES:
        lines.append(f"Content-Length: {length}")
    if close:
        lines.append("Connection: close")
    return _encode_head(lines)


def _encode_head(lines: list[str]) -> bytes:
    return (CRLF.join(lines) + CRLF + CRLF).encode("latin-1", "replace")
