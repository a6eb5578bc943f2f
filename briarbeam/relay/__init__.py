"""The request path of an entry, which sends requests directly to targets."""
