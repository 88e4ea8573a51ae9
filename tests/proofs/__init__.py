"""The proofs: for each promise of the system, the tests and mutants that check it.

Each promise has one file here; docs/PROOFS.md is generated from them.
"""
