"""Runs tasks on one upstream: start and stop calls, leases and results."""

from baobabgap.upstreams._answer_timeout import AnswerTimeout
from baobabgap.upstreams._client import ActiveRun
from baobabgap.upstreams._client import CallNotDelivered
from baobabgap.upstreams._client import StartOutcome
from baobabgap.upstreams._client import UpstreamClient
from baobabgap.upstreams._client import UpstreamNotListening
from baobabgap.upstreams._client import UpstreamReport
from baobabgap.upstreams._client import UpstreamSuperseded
from baobabgap.upstreams._run_agent import RunAgent

__all__ = [
    'ActiveRun',
    'AnswerTimeout',
    'CallNotDelivered',
    'RunAgent',
    'StartOutcome',
    'UpstreamClient',
    'UpstreamNotListening',
    'UpstreamReport',
    'UpstreamSuperseded',
]
