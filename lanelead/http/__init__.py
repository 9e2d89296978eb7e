"""HTTP/1.1 without sockets: bytes in, events out (RFC 9110, RFC 9112), parsed by httptools."""
