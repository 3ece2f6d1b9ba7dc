"""Decoder of the keys by which the operator evacuates availability zones."""

__all__ = ["evacuated_zone"]

from ragwortferry.platform.names import EVACUATION_PREFIX


def evacuated_zone(key: str) -> str:
    """Return the zone whose evacuation a store key requests, empty for other keys.

    Whatever the value of the key is, it requests the evacuation.

    >>> evacuated_zone("op/evacuate/zone-b"), evacuated_zone("op/config")
    ('zone-b', '')
    """
    if not key.startswith(EVACUATION_PREFIX):
        return ""
    return key.removeprefix(EVACUATION_PREFIX)
