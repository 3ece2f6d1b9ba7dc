"""Changes of the settings file of a node."""

import os

from ragwortferry.mesh.node import Node
from ragwortferry.platform.tests.test_decoders import SETTINGS


def test_settings_that_change_before_the_first_check_are_read(tmp_path):
    """Guards against a node that keeps the settings of its start."""
    path = tmp_path / "boot.toml"
    path.write_text(SETTINGS)
    node = Node(path)
    path.write_text(SETTINGS.replace("grace_s = 6", "grace_s = 3"))
    # File systems may give two writes in quick succession the same time.
    os.utime(path, ns=(0, path.stat().st_mtime_ns + 1))
    node._check_settings_file()
    assert node._settings.bounds.grace_s == 3
