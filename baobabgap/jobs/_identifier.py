"""The identifier of a job, chosen by its client.

It contains the client's name and the time of issue on the client's own
clock. An issue time is compared only with issue times of the same client,
so that the clocks of hosts need not agree.
"""

from dataclasses import dataclass
import re
from typing import Final

from baobabgap._exceptions import InvalidInput

_PATTERN: Final = re.compile(
    r'(?P<client>[a-z][a-z0-9-]{0,39})'
    r'\.(?P<issued>[0-9]{1,15})'
    r'\.(?P<nonce>[A-Za-z0-9_-]{1,64})'
)


@dataclass(frozen=True, slots=True)
class JobIdentifier:
    """A parsed job identifier, for example `kurek.1764800000000.heat-4`."""

    # The client's name, as in its quota and in the logs.
    client: str
    # Milliseconds on the client's own clock when it issued the job.
    issued_ms: int
    # Distinguishes jobs that were issued in the same millisecond.
    nonce: str

    @classmethod
    def from_text(cls, text: str) -> 'JobIdentifier':
        """Parse `client.issued_ms.nonce`; raise `InvalidInput` if wrong."""
        match = _PATTERN.fullmatch(text)
        if match is None:
            raise InvalidInput(
                f'job identifier {text[:120]!r} must read '
                'client.issued_ms.nonce, for example '
                'kurek.1764800000000.heat-4',
                step='submit',
            )
        return cls(match['client'], int(match['issued']), match['nonce'])

    def __str__(self) -> str:
        return f'{self.client}.{self.issued_ms}.{self.nonce}'
