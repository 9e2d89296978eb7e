"""PostgreSQL's wire protocol, version 3, for both sides of a connection, without I/O.

References: the sections 'Message Flow' and 'Message Formats' of the chapter 'Frontend/Backend Protocol' in PostgreSQL's
manual.
"""
