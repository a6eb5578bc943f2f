"""HTTP headers that a gate's replies carry to entry daemons."""

LOAD_HEADER = "x-briarbeam-load"
REQUEST_ID_HEADER = "x-briarbeam-request-id"
VERSION_HEADER = "x-briarbeam-version"
