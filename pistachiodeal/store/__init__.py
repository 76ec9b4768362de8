"""All that depends on the platform: its table, object store and workers."""
