"""Budget decisions of one router."""
