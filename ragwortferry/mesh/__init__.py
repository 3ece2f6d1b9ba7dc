"""Requests and state of a node on a platform with a registry of upstreams."""
