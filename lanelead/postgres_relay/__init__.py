"""The relay on the operators' platform, which speaks the PostgreSQL protocol to clients and endpoints."""
