"""Test doubles of the platform, the targets, the store and a faulty network."""
