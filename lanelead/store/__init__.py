"""The migration store, which keeps the migration log and applies migration steps: SQLite behind an HTTP service."""
