"""Links between nodes: messages, connections, heartbeats and the relay of state."""
