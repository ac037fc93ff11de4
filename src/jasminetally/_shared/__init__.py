"""Small parts that several packages use."""
