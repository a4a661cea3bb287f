"""A daemon without function that is ready at once, for launcher tests."""

from http.server import BaseHTTPRequestHandler
from http.server import HTTPServer
import signal
import sys

from baobabgap.settingsfile import load_settings


class _Handler(BaseHTTPRequestHandler):
    """Answers every GET with 200."""

    def do_GET(self) -> None:
        """Respond with an empty body."""
        self.send_response(200)
        self.send_header('Content-Length', '0')
        self.end_headers()


def main() -> None:
    """Serve until SIGTERM; exit with an error at once if named entry-9."""
    settings = load_settings(sys.argv[sys.argv.index('--settings') + 1])
    if settings.name == 'entry-9':
        sys.exit('entry-9 never starts')
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))
    listen = settings.listen
    HTTPServer((listen.host, listen.http_port), _Handler).serve_forever()


if __name__ == '__main__':
    main()
