"""The platform's agent: one runs beside each runner and is its only caller."""
