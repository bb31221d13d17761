"""Objects of the store for tests."""

from skylarkfold import relay
from skylarkfold import revision as revisions


def build_item(path, number, created, value, era=0):
    """Build an object.

    :param path: its name.
    :param number: of the revision at which it was written.
    :param created: the same of its creation.
    :param value: what it holds.
    :param era: the store's.
    :returns: the object.
    """
    return relay.Item(
        path,
        revisions.Revision(number, era),
        revisions.Revision(created, era),
        value,
    )
