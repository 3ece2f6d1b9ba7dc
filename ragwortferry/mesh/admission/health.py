"""One health check of the own upstream."""

__all__ = ["check_health"]

import asyncio

from ragwortferry.http1.client import ConnectionBrokenError, Pool, ResponseHead
from ragwortferry.http1.collector import ResponseCollector
from ragwortferry.http1.messages import encode_request, get_header
from ragwortferry.mesh.model import Advertised
from ragwortferry.platform.advertised import decode_advertised
from ragwortferry.platform.names import REQUEST_ID_HEADER

# The page waits for a slot like any other request.
TIMEOUT_S = 0.5
# A connection that was idle for longer is not used.
MAX_IDLE_S = 1.0
# Only the head of the page counts.
MAX_PAGE_BYTES = 65_536


class HealthResponse(ResponseCollector):
    """Collects the response to a health check, which is sent without an id."""

    def accepts(self, head: ResponseHead) -> bool:
        """Return whether the response is no late one to an earlier request."""
        return not get_header(head.headers, REQUEST_ID_HEADER)


async def check_health(pool: Pool, host: str, path: str) -> Advertised | None:
    """Return what the upstream states in a health response, ``None`` without one.

    :param pool: connections to the upstream.
    :param host: value of the Host header.
    :param path: path of the health page.
    """
    connection, answer = None, HealthResponse(MAX_PAGE_BYTES)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            connection = await pool.acquire(MAX_IDLE_S)
            connection.send(encode_request("GET", path, [("Host", host)], b""), answer)
            await answer.done
    except (ConnectionBrokenError, TimeoutError):
        if connection is not None:
            connection.close()
        return None
    except BaseException:
        if connection is not None:
            connection.close()
        raise
    pool.release(connection)
    return decode_advertised(answer.headers)
