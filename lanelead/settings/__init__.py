"""Settings: typed records written in a documented subset of CUE, with one reader and one checker."""
