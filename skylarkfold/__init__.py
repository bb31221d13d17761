"""A layer-4 load balancer whose instances keep nothing."""

__version__ = '0.1.0'
