"""Expected use of the network link by the responses of admitted requests.

A long response waits for the link when its work is done, and refusing it then wastes
the work. What waits at its admission tells too little: the requests that are queued and
running will send their responses before it.

Answers the load of long responses that need more bandwidth than the links of their
upstreams have.
"""

__all__ = ["EgressForecast"]

from collections.abc import Hashable

from ragwortferry.utils.egress import EgressPacer


class EgressForecast:
    """Adds what admitted requests will send to what waits for the link already.

    :param pacer: paces long responses on the link.
    """

    def __init__(self, pacer: EgressPacer):
        self._pacer = pacer
        # Expected size of the response of each admitted request, in bytes.
        self._sizes: dict[Hashable, float] = {}
        self._expected_bytes = 0.0

    @property
    def backlog_s(self) -> float:
        """Return the time until all that waits or is expected has been sent."""
        expected_s = self._pacer.transfer_s(self._expected_bytes)
        return self._pacer.queueing_delay_s + expected_s

    def transfer_s(self, size: float) -> float:
        """Return the time that a response takes on the link, 0 for a short one."""
        return self._pacer.transfer_s(size) if self._pacer.paces(size) else 0.0

    def admit(self, request: Hashable, size: float) -> None:
        """Expect the response of a request if it is long enough to be paced."""
        if self._pacer.paces(size):
            self._sizes[request] = size
            self._expected_bytes += size

    def end(self, request: Hashable) -> None:
        """Expect no response any more: it waits for the link, or will not come."""
        size = self._sizes.pop(request, 0.0)
        # Without requests the sum must be exact, whatever was rounded before.
        self._expected_bytes = self._expected_bytes - size if self._sizes else 0.0
