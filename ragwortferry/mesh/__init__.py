"""The node of a service mesh on a platform with a registry of upstreams."""
