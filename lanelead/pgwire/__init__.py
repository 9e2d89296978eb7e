"""PostgreSQL's wire protocol, version 3, without sockets: both sides.

Sources: 'Message Flow' and 'Message Formats' in PostgreSQL's manual, on the frontend/backend protocol.
"""
