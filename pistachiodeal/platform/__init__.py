"""The users' platform: its names, formats and calls, decoded into our own types.

Nothing here decides, and nothing outside knows how the platform spells anything.
"""
