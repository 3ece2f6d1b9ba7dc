"""Distribution of versions and of the instance list between processes."""
