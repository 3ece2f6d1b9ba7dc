"""Names that the platform defines: variables, paths, store keys and headers."""

__all__ = [
    "CALLER_SERVICE_HEADER",
    "COLD_HEADER",
    "CONFIG_KEY",
    "DEADLINE_HEADER",
    "EVACUATION_PREFIX",
    "INSTANCE_ID_HEADER",
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "NOT_RUN_HEADER",
    "OPERATOR_PREFIX",
    "PEER_PORT_VARIABLE",
    "READY_PATH",
    "REGISTRY_PREFIX",
    "REQUEST_ID_HEADER",
    "SETTINGS_VARIABLE",
    "SIGNATURE_HEADER",
    "STORE_ERA_HEADER",
    "TARGET_HEADER",
]

SETTINGS_VARIABLE = "RAGWORTFERRY_SETTINGS"
# Port on which other nodes accept links, if it is not the port on which this node does,
# as in networks that map ports.
PEER_PORT_VARIABLE = "RAGWORTFERRY_PEER_PORT"
READY_PATH = "/-/ready"

# All that the operator writes.
OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
# Followed by the name of the zone.
EVACUATION_PREFIX = "op/evacuate/"
REGISTRY_PREFIX = "servers/"

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
SIGNATURE_HEADER = "X-Response-Signature"
# Id of the upstream that the request is for, not of a node.
TARGET_HEADER = "X-Target-Instance"
NOT_RUN_HEADER = "X-Not-Executed"
# Service of the instance where the request entered the mesh.
CALLER_SERVICE_HEADER = "X-Caller-Service"
INSTANCE_ID_HEADER = "X-Instance-Id"
# Requests per second that the upstream accepts from all nodes together.
LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
# Milliseconds for which the upstream stays cold.
COLD_HEADER = "X-Cold-Remaining-Ms"
# Rises by one each time the store comes back from a copy.
STORE_ERA_HEADER = "Store-Era"
