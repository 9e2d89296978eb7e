"""Settings files: a documented subset of CUE, read into typed records and checked."""
