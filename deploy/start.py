"""Starts an instance as ``python -m skylarkfold.platform`` does, sooner.

The code comes from the file that ``bundle.py`` has written; ``-m`` itself
would load a dozen modules for nothing.
"""

import sys

from skylarkfold import bundle

bundle.install()

from skylarkfold.platform import __main__  # noqa: E402

sys.exit(__main__.main())
