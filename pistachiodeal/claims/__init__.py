"""Claims: requests that must not be repeated run at most once."""
