"""The relay over HTTP/1.1: it passes events on sockets to the decisions, and carries out their actions."""
