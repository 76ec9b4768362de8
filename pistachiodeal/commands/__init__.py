"""The operators' command line, one module per command."""
