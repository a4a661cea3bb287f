"""Recovery of the data folder after disk faults and crashes.

A torn write was never acknowledged and is discarded. Guards against a
start with any other damage, which may affect acknowledged entries.
"""

import json
import tempfile
import unittest
import zlib

from baobabgap.replication import DamagedLog
from baobabgap.replication import DataFolderInUse
from baobabgap.replication import StorageUnavailable
from baobabgap.replication._entry import Entry
from baobabgap.replication._entry import EntryKind
from baobabgap.replication._folder import DiskFolder
from baobabgap.replication._snapshot import Snapshot
from baobabgap.replication._storage import Storage
from baobabgap.replication.tests._faults import FaultyFolder

RECORD_COUNT = 4


def entry(index: int, term: int = 1) -> Entry:
    return Entry(index, term, EntryKind.COMMAND, b'command-%d' % index)


def folder_with_records() -> tuple[FaultyFolder, list[int]]:
    """Return a folder, and the size of its log after each record."""
    folder = FaultyFolder()
    storage = Storage.open(folder)
    sizes = [len(folder.read('log'))]
    for index in range(1, RECORD_COUNT + 1):
        storage.append(1, 'voted', [entry(index)])
        sizes.append(len(folder.read('log')))
    return folder, sizes


def reopen_after_crash(folder: FaultyFolder) -> Storage:
    return Storage.open(folder.crash())


class RecoveryTest(unittest.TestCase):
    def test_stored_state_is_recovered(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            storage = Storage.open(DiskFolder(path))
            storage.append(3, 'store', [entry(1, 3), entry(2, 3)])
            storage.append(4, '', [entry(2, 4)])
            identity = storage.identity
            storage.close()
            storage = Storage.open(DiskFolder(path))
            storage.close()
        self.assertEqual(identity, storage.identity)
        self.assertEqual(4, storage.recovered.term)
        self.assertEqual('', storage.recovered.vote)
        self.assertEqual((entry(1, 3), entry(2, 4)), storage.recovered.entries)

    def test_torn_write_is_truncated_at_each_byte(self) -> None:
        folder, sizes = folder_with_records()
        whole = folder.read('log')
        for size in range(sizes[-2], sizes[-1]):
            with self.subTest(size=size):
                folder.content_by_name['log'] = bytearray(whole[:size])
                folder.synced_by_name['log'] = size
                storage = reopen_after_crash(folder)
                self.assertEqual(
                    RECORD_COUNT - 1, len(storage.recovered.entries)
                )
                storage.append(1, 'voted', [entry(RECORD_COUNT)])

    def test_damage_before_last_record_is_refused_at_each_byte(self) -> None:
        folder, sizes = folder_with_records()
        whole = folder.read('log')
        for offset in range(sizes[-2]):
            with self.subTest(offset=offset):
                damaged = bytearray(whole)
                damaged[offset] ^= 0x40
                folder.content_by_name['log'] = damaged
                with self.assertRaises(DamagedLog) as caught:
                    reopen_after_crash(folder)
                start = max(
                    (size for size in sizes if size <= offset), default=0
                )
                self.assertEqual('/memory/log', caught.exception.file)
                self.assertLessEqual(caught.exception.offset, offset)
                if start:
                    self.assertEqual(start, caught.exception.offset)

    def test_missing_record_is_refused(self) -> None:
        folder, sizes = folder_with_records()
        whole = folder.read('log')
        folder.content_by_name['log'] = bytearray(
            whole[: sizes[1]] + whole[sizes[2] :]
        )
        folder.synced_by_name['log'] = len(folder.read('log'))
        with self.assertRaises(DamagedLog) as caught:
            reopen_after_crash(folder)
        self.assertEqual(sizes[1], caught.exception.offset)

    def test_command_that_looks_like_a_record_is_no_record(self) -> None:
        other, _ = folder_with_records()
        folder, _ = folder_with_records()
        storage = reopen_after_crash(folder)
        data = other.read('log')
        storage.append(1, '', [Entry(5, 1, EntryKind.COMMAND, data)])
        torn = storage._folder.crash()  # type: ignore[attr-defined]
        del torn.content_by_name['log'][-1:]
        torn.synced_by_name['log'] -= 1
        self.assertEqual(
            RECORD_COUNT, len(Storage.open(torn).recovered.entries)
        )

    def test_damaged_snapshot_is_refused_at_each_byte(self) -> None:
        folder, _ = folder_with_records()
        storage = reopen_after_crash(folder)
        storage.save_snapshot(Snapshot(2, 1, b'', b'state'))
        folder = storage._folder  # type: ignore[assignment]
        whole = folder.read('snapshot')
        for offset in range(len(whole)):
            with self.subTest(offset=offset):
                damaged = bytearray(whole)
                damaged[offset] ^= 0x01
                folder.content_by_name['snapshot'] = damaged
                with self.assertRaises(DamagedLog):
                    reopen_after_crash(folder)

    def test_missing_files_are_refused(self) -> None:
        for name in ('log', 'format'):
            with self.subTest(name=name):
                folder, _ = folder_with_records()
                folder.remove(name)
                with self.assertRaises(DamagedLog) as caught:
                    reopen_after_crash(folder)
                self.assertEqual(f'/memory/{name}', caught.exception.file)

    def test_missing_or_older_snapshot_is_refused(self) -> None:
        folder, _ = folder_with_records()
        storage = reopen_after_crash(folder)
        disk = storage._folder
        assert isinstance(disk, FaultyFolder)
        storage.save_snapshot(Snapshot(2, 1, b'', b'older'))
        older = bytearray(disk.read('snapshot'))
        storage.save_snapshot(Snapshot(9, 2, b'', b'state'))
        storage.rewrite(2, '', 9, ())
        self.assertEqual((), reopen_after_crash(disk).recovered.entries)
        disk.content_by_name['snapshot'] = older
        with self.assertRaisesRegex(DamagedLog, 'up to 2'):
            reopen_after_crash(disk)
        disk.remove('snapshot')
        with self.assertRaisesRegex(DamagedLog, 'up to 0'):
            reopen_after_crash(disk)

    def test_unusable_folder_is_storage_unavailable(self) -> None:
        with self.assertRaises(StorageUnavailable):
            Storage.open(DiskFolder('/proc/version/control'))

    def test_other_format_versions_are_refused(self) -> None:
        folder, _ = folder_with_records()
        document = json.loads(folder.read('format'))
        document['format_version'] = 2
        folder.content_by_name['format'] = bytearray(
            json.dumps(document).encode()
        )
        with self.assertRaisesRegex(DamagedLog, 'format version 2'):
            reopen_after_crash(folder)
        folder, _ = folder_with_records()
        header = bytearray(folder.read('log')[:24])
        header[8] = 9
        header += zlib.crc32(header).to_bytes(4, 'little')
        folder.content_by_name['log'][:28] = header
        with self.assertRaisesRegex(DamagedLog, 'format version 9'):
            reopen_after_crash(folder)

    def test_second_process_cannot_open_the_folder(self) -> None:
        with tempfile.TemporaryDirectory() as path:
            storage = Storage.open(DiskFolder(path))
            with self.assertRaises(DataFolderInUse):
                Storage.open(DiskFolder(path))
            storage.close()
            Storage.open(DiskFolder(path)).close()


class FailingDiskTest(unittest.TestCase):
    def test_nothing_is_appended_until_log_is_rewritten(self) -> None:
        for fault in ('full disk', 'failing sync'):
            with self.subTest(fault=fault):
                folder, _ = folder_with_records()
                storage = reopen_after_crash(folder)
                disk = storage._folder
                assert isinstance(disk, FaultyFolder)
                if fault == 'full disk':
                    disk.free_bytes = 30
                else:
                    disk.sync_fails = True
                with self.assertRaises(StorageUnavailable):
                    storage.append(1, '', [entry(5)])
                with self.assertRaises(StorageUnavailable):
                    storage.rewrite(1, '', 0, [entry(1)])
                disk.free_bytes = None
                disk.sync_fails = False
                with self.assertRaises(StorageUnavailable):
                    storage.append(1, '', [entry(5)])
                entries = [entry(index) for index in range(1, 7)]
                storage.rewrite(2, '', 0, entries)
                recovered = Storage.open(disk.crash()).recovered
                self.assertEqual(tuple(entries), recovered.entries)

    def test_crash_between_snapshot_and_new_log(self) -> None:
        folder, _ = folder_with_records()
        for index, term, left in ((2, 1, 2), (2, 7, 0), (9, 1, 0)):
            with self.subTest(index=index, term=term):
                storage = reopen_after_crash(folder)
                storage.save_snapshot(Snapshot(index, term, b'', b'state'))
                disk = storage._folder
                assert isinstance(disk, FaultyFolder)
                recovered = Storage.open(disk.crash()).recovered
                self.assertEqual(left, len(recovered.entries))
