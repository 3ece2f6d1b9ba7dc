"""The path of a request: entry proxy, owner proxy, target."""
