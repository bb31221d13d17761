"""Adapter to the users' platform: its packets, store and object formats.

Only this package knows the platform's names and formats.
``python -m skylarkfold.platform`` runs an instance.
"""
