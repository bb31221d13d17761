"""Objects of the platform's store as the relay replicates them."""

from __future__ import annotations

from skylarkfold import revision as revisions


class Item:
    """A version of an object.

    :param path: the object's name within its topic.
    :param revision: the revision at which this version was written.
    :param created: the revision at which the object was created.
    :param value: the value; None if the object is deleted.
    """

    __slots__ = ('created', 'path', 'revision', 'value')

    def __init__(
        self,
        path: str,
        revision: revisions.Revision,
        created: revisions.Revision,
        value: dict[str, object] | None,
    ) -> None:
        self.path = path
        self.revision = revision
        self.created = created
        self.value = value

    def __repr__(self) -> str:
        return f'Item({self.path!r}, {self.revision}, {self.value!r})'
