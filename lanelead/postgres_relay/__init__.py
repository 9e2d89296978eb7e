"""The relay on the platform: its configuration, front, links, feeds and signals, around the one driver."""
