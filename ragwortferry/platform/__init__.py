"""Adapter to the platform: names, file and message formats, and calls of the store.

It decodes and transports; it contains no decision logic.
"""
