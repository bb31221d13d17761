"""Stand-in for the network that spreads packets over all instances."""

from __future__ import annotations

import random


class Fabric:
    """Random choice of an instance for each packet or request.

    :param seed: the seed of the random choices.
    :param targets: the hosts of the instances.
    """

    def __init__(self, seed: int, targets: list[str]) -> None:
        self.targets = targets
        self._random = random.Random(seed)

    def choose(self, other_than: str = '') -> str:
        """Choose an instance at random.

        :param other_than: a host to avoid if there is another one.
        :returns: the host of the chosen instance.
        """
        targets = [each for each in self.targets if each != other_than]
        return self._random.choice(targets or self.targets)
