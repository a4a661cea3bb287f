"""What the logs tell of a job that is submitted again."""

import unittest
from unittest.mock import Mock
from unittest.mock import patch

from baobabgap.accepted import RunEnd
from baobabgap.dispatch.tests.resubmission import ResubmissionCase
from baobabgap.dispatch.tests.resubmission import TASK

LOGGERS = ('_call_handler', '_job_closer', '_run_tracker', '_starter')


class SubmissionLogTest(ResubmissionCase):
    def setUp(self) -> None:
        super().setUp()
        self.log = Mock()
        for module in LOGGERS:
            patcher = patch(f'baobabgap.dispatch.{module}.log_event', self.log)
            patcher.start()
            self.addCleanup(patcher.stop)

    def fields(self, event: str, name: str) -> list[object]:
        """Return the values of a field in all lines of an event."""
        return [
            call.kwargs.get(name)
            for call in self.log.call_args_list
            if call.args[0] == event
        ]

    def test_accepted_job_names_its_entry_call_and_repetition(self) -> None:
        self.submit(entry='e', call=3)
        self.drop(entry='e', call=3)
        self.submit(entry='e', call=4, is_repeat=True)
        for event, calls, repeats in (
            ('job_accepted', [3, 4], [False, True]),
            ('job_ended', [3], [False]),
        ):
            with self.subTest(event=event):
                self.assertEqual(calls, self.fields(event, 'call'))
                self.assertEqual(repeats, self.fields(event, 'is_repeat'))
                self.assertEqual({'e/1'}, {*self.fields(event, 'entry')})

    def test_end_by_other_causes_names_no_call(self) -> None:
        self.submit(entry='e', call=3)
        self.start_tasks()
        self.end(self.view('old'), RunEnd.DONE)
        self.assertEqual([None], self.fields('job_ended', 'call'))

    def test_start_after_an_earlier_submissions_run_names_it(self) -> None:
        self.submit(entry='e', call=3)
        self.start_tasks()
        self.drop(entry='e', call=3)
        self.submit(entry='e', call=4)
        self.runs.drop(self.view('old'), TASK, 'stopped')
        self.start_tasks()
        self.start_tasks()
        (first, second) = self.fields('job_placed', 'after_earlier_runs')
        self.assertIsNone(first)
        self.assertRegex(str(second), r"\['0.0#1@old, ended \d+ ms before'\]")
        self.assertEqual([True], self.fields('run_gone', 'earlier_submission'))

    def test_loss_of_a_submissions_own_run_is_no_earlier_one(self) -> None:
        self.submit(entry='e', call=3)
        self.start_tasks()
        self.runs.drop(self.view('old'), TASK, 'stopped')
        self.start_tasks()
        self.assertEqual(
            [None, None], self.fields('job_placed', 'after_earlier_runs')
        )
        self.assertEqual(
            [False], self.fields('run_gone', 'earlier_submission')
        )


if __name__ == '__main__':
    unittest.main()
