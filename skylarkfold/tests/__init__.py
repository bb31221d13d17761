"""The tests; run them all with ``python -m skylarkfold.tests``."""

import hypothesis

hypothesis.settings.register_profile(
    'ci',
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.load_profile('ci')
