"""Decoder of what an upstream states about itself in the headers of a response."""

__all__ = ["decode_advertised"]

import re

from ragwortferry.http1.messages import Headers
from ragwortferry.mesh.model import Advertised
from ragwortferry.platform.names import COLD_HEADER, LEAVING_HEADER, LIMIT_HEADER

DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?|\.[0-9]{1,9}")
# Maximum length of an invalid value that is kept for the log.
MAX_INVALID_CHARS = 40
LEAVING = "1"
_LIMIT_NAME, _LEAVING_NAME = LIMIT_HEADER.lower(), LEAVING_HEADER.lower()
_COLD_NAME = COLD_HEADER.lower()


def decode_advertised(headers: Headers) -> Advertised:
    """Return what the headers of a response state about its upstream.

    Of several limits, the lowest counts. A limit that is no decimal number is reported
    as invalid and states nothing; neither does such a cold time.

    >>> decode_advertised([("server-limit", "4.6"), ("Server-Leaving", "1")])
    Advertised(limit_per_s=4.6, leaving=True, invalid='', cold_s=None)
    >>> decode_advertised([("Server-Limit", "-3")])
    Advertised(limit_per_s=None, leaving=False, invalid='-3', cold_s=None)
    >>> decode_advertised([("X-Cold-Remaining-Ms", "1500")]).cold_s
    1.5
    """
    limits: list[float] = []
    leaving, invalid, cold_s = False, "", None
    for name, value in headers:
        name = name.lower()
        if name == _LIMIT_NAME:
            if DECIMAL.fullmatch(value.strip()):
                limits.append(float(value))
            else:
                invalid = value[:MAX_INVALID_CHARS] or "empty"
        elif name == _LEAVING_NAME:
            leaving = leaving or value.strip() == LEAVING
        elif name == _COLD_NAME and DECIMAL.fullmatch(value.strip()):
            cold_s = float(value) / 1000
    return Advertised(min(limits, default=None), leaving, invalid, cold_s)
