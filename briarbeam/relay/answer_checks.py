"""Checks of answers before they are passed on to callers."""

from .errors import UpstreamError


def check_attribution(job, target, call, reply):
    """Check that `reply` is the answer to the request of `job`.

    An answer without an id belongs to the only request of its connection, unless it
    arrived before that was sent.

    :raises UpstreamError: if it is not, so that the request may have run.
    """
    if reply.request_id not in (None, job.meta.request_id):
        raise UpstreamError(f"{target.id} returned the answer to another request")
    if reply.not_run and reply.request_id is None and not call.is_sent:
        raise UpstreamError(f"{target.id} refused a request before it was sent")
    if reply.contradictory:
        raise UpstreamError(
            f"{target.id} did not run the request, but answered {reply.status}"
        )
    if reply.unproven:
        # Another program may listen at the address, so that nothing has run.
        raise UpstreamError(f"{target.id} answered {reply.status} without a proof")
