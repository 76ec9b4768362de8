"""The operators' command line, one module a command."""
