"""Stand-ins for the platform, the targets and a faulty network, for tests."""
