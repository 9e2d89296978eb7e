"""The HTTP/1.1 relay: passes events from its sockets to the decisions and carries out their actions."""
