"""Manifest, revisions and their distribution."""
