"""The entry process: callers' and operators' HTTP, links, interactive requests."""
