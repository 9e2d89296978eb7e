"""The migration store, which holds the migration log and applies its steps: SQLite behind a small HTTP service."""
