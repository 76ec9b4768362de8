"""The entry process: accepts HTTP requests and routes them to agents."""
