"""The users' platform: its settings file, packets, store and names.

Everything here only translates; nothing outside this folder knows the
platform's names. ``python -m skylarkfold.platform`` runs an instance.
"""
