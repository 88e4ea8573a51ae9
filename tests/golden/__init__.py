"""Golden tests: complete caller sessions, compared with files byte by byte.

``python -m tests.golden`` rewrites the files after an intended change;
review the difference before committing it.  Nothing else writes them.
"""
