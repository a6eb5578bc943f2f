"""Ranks entries in an order that all daemons compute alike, without coordination."""

import hashlib

# The subject by which entries are ranked as forwarders of loads. It is a constant, so
# that all daemons choose the same forwarder.
FORWARDER_SUBJECT = "loads"


def rank_entries(entries, failure_domain, subject):
    """Return the hosts of the entries of `failure_domain`, the first in rank first.

    Rendezvous hashing is used: an entry that joins or leaves doesn't reorder the
    others.

    :param entries: pairs of IP address and failure domain.
    :param subject: the text that the order depends on, such as a model and a version.
    """
    hosts = {host for host, domain in entries if domain == failure_domain}
    return sorted(hosts, key=lambda host: _hash(host, subject))


def first_in_rank(entries, subject):
    """Return the host of the entry of any failure domain that is first in rank.

    :param entries: pairs of IP address and failure domain.
    """
    return min((host for host, _ in entries), key=lambda host: _hash(host, subject))


def _hash(host, subject):
    return hashlib.blake2b(f"{host}|{subject}".encode(), digest_size=8).digest()


def manifest_subject(model, version):
    """Return the subject by which entries are ranked for a manifest."""
    return f"{model}/{version}"


def chunk_subject(model, version, number):
    """Return the subject by which entries are ranked for one chunk."""
    return f"{model}/{version}/{number}"
