"""HTTP headers in the replies of a gate to entry daemons."""

LOAD_HEADER = "x-briarbeam-load"
REQUEST_ID_HEADER = "x-briarbeam-request-id"
VERSION_HEADER = "x-briarbeam-version"
