"""Names of the platform that more than one module of the adapter needs."""

__all__ = [
    "CALLER_SERVICE_HEADER",
    "CONFIG_KEY",
    "DEADLINE_HEADER",
    "INSTANCE_ID_HEADER",
    "NOT_RUN_HEADER",
    "PEER_PORT_VARIABLE",
    "READY_PATH",
    "REGISTRY_PREFIX",
    "REQUEST_ID_HEADER",
    "SETTINGS_VARIABLE",
    "SIGNATURE_HEADER",
    "TARGET_HEADER",
]

SETTINGS_VARIABLE = "RAGWORTFERRY_SETTINGS"
# For networks that map ports: the port at which other nodes are dialed, if it is not
# the one at which this node accepts links.
PEER_PORT_VARIABLE = "RAGWORTFERRY_PEER_PORT"
READY_PATH = "/-/ready"

CONFIG_KEY = "op/config"
REGISTRY_PREFIX = "servers/"

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
SIGNATURE_HEADER = "X-Response-Signature"
# The id of the upstream that is meant, not of a proxy.
TARGET_HEADER = "X-Target-Instance"
NOT_RUN_HEADER = "X-Not-Executed"
# The service of the machine on which the request began.
CALLER_SERVICE_HEADER = "X-Caller-Service"
INSTANCE_ID_HEADER = "X-Instance-Id"
