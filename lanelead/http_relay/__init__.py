"""The relay on sockets: it tells the decisions what happens, and carries out what they decide."""
