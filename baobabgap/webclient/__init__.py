"""An HTTP client for JSON documents."""

from baobabgap.webclient._client import ConnectionRefused
from baobabgap.webclient._client import RequestNeverSent
from baobabgap.webclient._client import WebClient
from baobabgap.webclient._client import WebResponse

__all__ = [
    'ConnectionRefused',
    'RequestNeverSent',
    'WebClient',
    'WebResponse',
]
