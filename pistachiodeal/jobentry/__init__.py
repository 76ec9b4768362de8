"""The entry process: accepts callers' jobs, and leads while it is elected."""
