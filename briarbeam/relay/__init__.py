"""The request path of an entry that stands directly before the targets."""
