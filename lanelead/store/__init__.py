"""The store that holds the record of steps and has their effects: SQLite behind a small HTTP service."""
