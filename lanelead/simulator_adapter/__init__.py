"""Connects the decisions to a simulator: translates events on its wire to calls and actions to lines, no more."""
