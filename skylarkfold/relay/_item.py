"""Objects of the platform's store as the relay passes them on."""

from __future__ import annotations

from skylarkfold import revision as revisions


class Item:
    """One object in one form.

    :param path: its name within its topic.
    :param revision: where in the store's history it was written.
    :param created: where it was created.
    :param value: what it holds; None once it is deleted.
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
