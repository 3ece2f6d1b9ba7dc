"""The request path: from the entry proxy over the owner proxy to the target."""
