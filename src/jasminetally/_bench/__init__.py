"""Benches that compare decisions of the router to simple baselines."""
