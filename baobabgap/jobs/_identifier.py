"""The identifier of a job, chosen by its client.

It carries the client's name and the time of issue on the client's own
clock. Issue times are only ever compared with issue times of the same
client, so that no two hosts' clocks need to agree.
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
    # Milliseconds on the client's own clock when it made the job.
    issued_ms: int
    # Anything that tells jobs issued in the same millisecond apart.
    nonce: str

    @classmethod
    def from_text(cls, text: str) -> 'JobIdentifier':
        """Parse `client.issued_ms.nonce`; raise `InvalidInput` if wrong."""
        found = _PATTERN.fullmatch(text)
        if found is None:
            raise InvalidInput(
                f'job identifier {text[:120]!r} must read '
                'client.issued_ms.nonce, for example '
                'kurek.1764800000000.heat-4',
                step='submit',
            )
        return cls(found['client'], int(found['issued']), found['nonce'])

    def __str__(self) -> str:
        return f'{self.client}.{self.issued_ms}.{self.nonce}'
