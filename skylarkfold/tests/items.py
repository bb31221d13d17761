"""Stored objects for tests."""

from skylarkfold import relay
from skylarkfold import revision as revisions


def build_item(path, number, created, value, era=0):
    """Build a stored object.

    :param path: its path.
    :param number: the number of the revision at which it was written.
    :param created: the number of the revision at which it was created.
    :param value: its content.
    :param era: the store's era.
    :returns: the object.
    """
    return relay.Item(
        path,
        revisions.Revision(number, era),
        revisions.Revision(created, era),
        value,
    )
