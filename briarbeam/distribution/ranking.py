"""Who feeds whom: an order of entries that all work out alike, without agreement."""

import hashlib

# By which entries are ranked for passing on loads; all daemons choose the same ones.
FORWARDER_SUBJECT = "loads"


def rank_entries(entries, failure_domain, subject):
    """Return hosts in the order in which they are asked, those of `failure_domain` only.

    Rendezvous hashing: an entry that joins or leaves moves no others.

    :param entries: pairs of IP number and failure domain.
    :param subject: text that the order depends on, as model and version.
    """
    hosts = {host for host, domain in entries if domain == failure_domain}
    return sorted(hosts, key=lambda host: _weight(host, subject))


def _weight(host, subject):
    return hashlib.blake2b(f"{host}|{subject}".encode(), digest_size=8).digest()


def manifest_subject(model, version):
    """Return the subject by which entries are ranked for a manifest."""
    return f"{model}/{version}"


def chunk_subject(model, version, number):
    """Return the subject by which entries are ranked for one chunk."""
    return f"{model}/{version}/{number}"
