"""One health check of the own upstream."""

__all__ = ["check_health"]

import asyncio

from ragwortferry.http1.client import ConnectionBrokenError, Pool
from ragwortferry.http1.collector import ResponseCollector
from ragwortferry.http1.messages import encode_request
from ragwortferry.mesh.model import Advertised
from ragwortferry.platform.advertised import decode_advertised

# The page waits for a slot like any other request.
TIMEOUT_S = 0.5
# A connection that was idle for longer is not used.
MAX_IDLE_S = 1.0


async def check_health(pool: Pool, host: str, path: str) -> Advertised | None:
    """Return what the upstream states in a health response, ``None`` without one.

    :param pool: connections to the upstream.
    :param host: value of the Host header.
    :param path: path of the health page.
    """
    connection, answer = None, ResponseCollector()
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
