"""HTTP/1.1 (RFC 9110, RFC 9112): readers and serialization without sockets, and a small client and server on them.

The readers take bytes and return requests and responses; httptools parses them.
"""
