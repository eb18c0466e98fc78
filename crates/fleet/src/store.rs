//! A voter's persistent state on disk.
//!
//! The state is one file of frames: a header, the whole state at some point, then the records since. An
//! incomplete frame at the end was being written when the machine stopped; no message was sent on its basis,
//! and it is discarded. A corrupt frame before the end means that votes or log entries on which messages were
//! sent are lost: the file is rejected.

use crate::disk::Disk;
use crate::frame::{self, FrameError};
use pearfork_ledger::raft::{PersistentState, Record};
use pearfork_ledger::{Fraction, LeaseTable};
use serde::{Deserialize, Serialize};
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// Maximum length of a frame body in the file.
const MAX_FRAME_BYTES: usize = 256 << 20;
/// Version of the file's format.
const FORMAT: u32 = 1;

/// Why a store cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file or folder cannot be read or written.
    #[error("{file}: {source}")]
    Disk {
        /// The file or folder.
        file: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Another process uses the folder.
    #[error("{0}: folder is locked by another process")]
    Locked(PathBuf),
    /// The file is corrupt: votes or log entries are lost.
    #[error("{file} is corrupt at byte {offset}: {reason}; this voter's votes or log entries may be lost, so it must not \
             vote with this file; repair the disk, or remove the folder and let the host join under another number")]
    Corrupt {
        /// The file.
        file: PathBuf,
        /// Offset of the corrupt frame, in bytes.
        offset: usize,
        /// What is wrong with it.
        reason: String,
    },
    /// The file was written by another release, or for another fleet or host.
    #[error("{file} does not belong to this voter: {found}")]
    Mismatch {
        /// The file.
        file: PathBuf,
        /// What the file belongs to.
        found: String,
    },
}

/// Header of the file: its first frame, which identifies the voter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreHeader {
    /// Version of the file's format.
    pub format: u32,
    /// The fleet's name.
    pub fleet: String,
    /// The host's number.
    pub host: u16,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StoredFrame {
    #[serde(rename = "image")]
    PersistentState(PersistentState),
    Record(Record),
}

/// The folder of a store, locked by this process.
#[derive(Debug)]
pub struct StoreFolder {
    path: PathBuf,
    /// Holds the lock while the folder is in use; the operating system releases it when the process ends.
    _lock: File,
}

impl StoreFolder {
    /// Creates the folder if it does not exist, and locks it.
    ///
    /// # Errors
    /// The folder or its lock file cannot be opened, or another process holds the lock.
    pub fn lock(path: &Path) -> Result<StoreFolder, StoreError> {
        let disk_error = |file: &Path| {
            let file = file.to_owned();
            move |source| StoreError::Disk { file, source }
        };
        std::fs::create_dir_all(path).map_err(disk_error(path))?;
        let name = path.join("lock");
        let lock = match File::create(&name) {
            Ok(lock) => lock,
            // In a read-only folder the existing file is locked: another process may use the folder all the
            // same.
            Err(e) => File::open(&name).map_err(|_| disk_error(&name)(e))?,
        };
        match lock.try_lock() {
            Ok(()) => Ok(StoreFolder { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => Err(StoreError::Locked(path.to_owned())),
            Err(TryLockError::Error(e)) => Err(disk_error(&name)(e)),
        }
    }

    fn state_file(&self) -> PathBuf {
        self.path.join("promises")
    }
}

/// A voter's state file, open for writing.
pub struct Store {
    file: PathBuf,
    disk: Box<dyn Disk>,
    header: StoreHeader,
}

impl Store {
    /// Reads the stored state and writes it to a new file, so that the state in use is known to be on disk.
    ///
    /// After a failed fsync the operating system may return data that is not on disk. Rewriting the state
    /// keeps the voter from sending messages on the basis of such data.
    ///
    /// # Errors
    /// The disk fails, or the stored state cannot be used.
    pub fn open(
        folder: &StoreFolder,
        mut disk: Box<dyn Disk>,
        header: StoreHeader,
        lendable: Fraction,
    ) -> Result<(Store, PersistentState), StoreError> {
        let file = folder.state_file();
        let disk_error = |source| StoreError::Disk { file: file.clone(), source };
        let state = match disk.read(&file).map_err(disk_error)? {
            Some(bytes) => read(&file, &bytes, &header)?,
            None => None,
        };
        let state = state.unwrap_or_else(|| PersistentState {
            table: LeaseTable::new(lendable),
            ..PersistentState::default()
        });
        if state.table.lendable() != lendable {
            let found = format!("its fleet's floors leave {}, expected {lendable}", state.table.lendable());
            return Err(StoreError::Mismatch { file, found });
        }
        let mut store = Store { file, disk, header };
        store.rewrite(&state)?;
        Ok((store, state))
    }

    /// Appends records to the file. They are on disk when this returns.
    ///
    /// # Errors
    /// The disk fails. The store must not be used any more, since it is unknown which records are on disk.
    pub fn append(&mut self, records: Vec<Record>) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        records.into_iter().for_each(|r| frame::encode(&mut bytes, &StoredFrame::Record(r)));
        self.disk
            .append(&self.file, &bytes)
            .map_err(|source| StoreError::Disk { file: self.file.clone(), source })
    }

    /// Replaces the file by the whole state. It is on disk when this returns.
    ///
    /// # Errors
    /// The disk fails. The file has either its old or its new contents.
    pub fn rewrite(&mut self, state: &PersistentState) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        frame::encode(&mut bytes, &self.header);
        frame::encode(&mut bytes, &StoredFrame::PersistentState(state.clone()));
        self.disk
            .replace(&self.file, &bytes)
            .map_err(|source| StoreError::Disk { file: self.file.clone(), source })
    }
}

/// The header of the file of a voter.
pub fn header(fleet: &str, host: u16) -> StoreHeader {
    StoreHeader { format: FORMAT, fleet: fleet.to_owned(), host }
}

/// Decodes the contents of a file; none if it is empty.
///
/// # Errors
/// The file is corrupt, or it does not belong to this voter.
pub fn read(file: &Path, bytes: &[u8], header: &StoreHeader) -> Result<Option<PersistentState>, StoreError> {
    let corrupt =
        |offset: usize, reason: String| StoreError::Corrupt { file: file.to_owned(), offset, reason };
    let invalid_frame = |offset: usize| move |e: FrameError| corrupt(offset, e.to_string());
    let Some((found, mut offset)) =
        frame::decode::<StoreHeader>(bytes, MAX_FRAME_BYTES).map_err(invalid_frame(0))?
    else {
        // The file is replaced atomically: an incomplete header was not written by this program.
        return if bytes.is_empty() {
            Ok(None)
        } else {
            Err(corrupt(0, "the header is incomplete".to_owned()))
        };
    };
    if found != *header {
        let found = format!(
            "it has format {} and is for host {} of fleet `{}`",
            found.format, found.host, found.fleet
        );
        return Err(StoreError::Mismatch { file: file.to_owned(), found });
    }
    let mut state = match frame::decode::<StoredFrame>(&bytes[offset..], MAX_FRAME_BYTES)
        .map_err(invalid_frame(offset))?
    {
        Some((StoredFrame::PersistentState(state), length)) => {
            offset += length;
            state
        }
        _ => return Err(corrupt(offset, "the header is not followed by a whole state".to_owned())),
    };
    while offset < bytes.len() {
        match frame::decode::<StoredFrame>(&bytes[offset..], MAX_FRAME_BYTES) {
            Ok(Some((StoredFrame::Record(record), length))) => {
                if !state.apply(record) {
                    return Err(corrupt(offset, "a record does not continue the ones before".to_owned()));
                }
                offset += length;
            }
            Ok(Some((StoredFrame::PersistentState(_), _))) => {
                return Err(corrupt(offset, "a second whole state".to_owned()))
            }
            // A corrupt length field can make a frame look incomplete.
            Ok(None) if is_followed_by_frame(&bytes[offset..]) => {
                return Err(corrupt(offset, "an incomplete frame is followed by another frame".to_owned()))
            }
            // Incomplete: it was being written when the machine stopped.
            Ok(None) => break,
            // A crash may leave any subset of the blocks of the last write on disk. A frame was certainly on
            // disk before only if a complete frame follows it.
            Err(e) if is_followed_by_frame(&bytes[offset..]) => return Err(corrupt(offset, e.to_string())),
            Err(_) => break,
        }
    }
    Ok(Some(state))
}

/// Whether a complete frame begins after the first byte: then the data before it was once on disk.
fn is_followed_by_frame(bytes: &[u8]) -> bool {
    (1..bytes.len().saturating_sub(frame::HEADER_BYTES))
        .any(|offset| matches!(frame::decode::<StoredFrame>(&bytes[offset..], MAX_FRAME_BYTES), Ok(Some(_))))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::disk::{FaultyDisk, RealDisk};
    use pearfork_ledger::{Change, Entry, HostNumber};

    struct TempFolder(PathBuf);

    impl TempFolder {
        fn new(name: &str) -> TempFolder {
            let path = std::env::temp_dir().join(format!("pearfork-store-{name}-{}", std::process::id()));
            let _ = std::fs::remove_dir_all(&path);
            TempFolder(path)
        }
    }

    impl Drop for TempFolder {
        fn drop(&mut self) {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }

    fn entry(index: u64) -> Record {
        let changes = vec![Change::Join { host: HostNumber(index as u16), nonce: index }];
        Record::Entry { index, entry: Entry { term: 3, changes } }
    }

    fn records() -> Vec<Record> {
        vec![Record::HardState { term: 3, voted_for: Some(HostNumber(1)) }, entry(1), entry(2), entry(3)]
    }

    fn open(folder: &StoreFolder) -> Result<(Store, PersistentState), StoreError> {
        Store::open(folder, Box::<RealDisk>::default(), header("f", 1), Fraction::from_f64(0.5))
    }

    #[test]
    fn state_survives_reopening_and_a_second_process_is_refused() {
        let temp = TempFolder::new("reopen");
        let folder = StoreFolder::lock(&temp.0).unwrap();
        let (mut store, state) = open(&folder).unwrap();
        assert_eq!((state.term, state.entries.len()), (0, 0));
        store.append(records()).unwrap();
        assert!(matches!(StoreFolder::lock(&temp.0), Err(StoreError::Locked(_))));
        drop((store, folder));
        let folder = StoreFolder::lock(&temp.0).unwrap();
        let (_, state) = open(&folder).unwrap();
        assert_eq!((state.term, state.voted_for, state.entries.len()), (3, Some(HostNumber(1)), 3));
        let other = Store::open(&folder, Box::<RealDisk>::default(), header("g", 1), Fraction::from_f64(0.5));
        assert!(matches!(other, Err(StoreError::Mismatch { .. })));
        let other = Store::open(&folder, Box::<RealDisk>::default(), header("f", 1), Fraction::from_f64(0.4));
        assert!(matches!(other, Err(StoreError::Mismatch { .. })));
    }

    /// The file is truncated at every byte, and every byte is corrupted: reading never panics and never
    /// returns state that was not written. Written state is missing only if the file is reported as corrupt
    /// or ends there.
    #[test]
    fn truncated_and_corrupt_files_are_rejected_or_lose_only_their_last_write() {
        let temp = TempFolder::new("torn");
        let folder = StoreFolder::lock(&temp.0).unwrap();
        let (mut store, _) = open(&folder).unwrap();
        let initial_length = std::fs::read(folder.state_file()).unwrap().len();
        let mut ends = vec![initial_length];
        for record in records() {
            store.append(vec![record]).unwrap();
            ends.push(std::fs::read(folder.state_file()).unwrap().len());
        }
        let bytes = std::fs::read(folder.state_file()).unwrap();
        let complete = read(&folder.state_file(), &bytes, &header("f", 1)).unwrap().unwrap();
        for length in 0..bytes.len() {
            let result = read(&folder.state_file(), &bytes[..length], &header("f", 1));
            let complete_writes = ends.iter().filter(|e| **e <= length).count();
            match result {
                Ok(Some(state)) => {
                    assert_eq!(
                        state.entries.len(),
                        complete_writes.saturating_sub(2),
                        "truncated to {length} bytes"
                    );
                    assert_eq!(state.term > 0, complete_writes >= 2, "truncated to {length} bytes");
                }
                Ok(None) => assert_eq!(length, 0),
                Err(_) => assert!(length < initial_length, "truncated to {length} bytes"),
            }
        }
        let last_write = ends[ends.len() - 2];
        for offset in 0..bytes.len() {
            let mut corrupted = bytes.clone();
            corrupted[offset] ^= 0x10;
            match read(&folder.state_file(), &corrupted, &header("f", 1)) {
                Ok(Some(state)) => {
                    assert!(offset >= last_write, "corruption at byte {offset} was not detected");
                    assert_eq!(state.entries.len(), 2);
                }
                Ok(None) => panic!("a file with corruption at byte {offset} was read as empty"),
                Err(_) => {}
            }
        }
        assert_eq!(complete.entries.len(), 3);
    }

    #[test]
    fn a_disk_fault_is_reported_and_earlier_state_is_kept() {
        let temp = TempFolder::new("fault");
        let folder = StoreFolder::lock(&temp.0).unwrap();
        let fault_file = temp.0.join("fault");
        let disk = || Box::new(FaultyDisk::new(RealDisk::default(), fault_file.clone()));
        let (mut store, _) = Store::open(&folder, disk(), header("f", 1), Fraction::from_f64(0.5)).unwrap();
        store.append(records()).unwrap();
        for fault in ["full", "torn", "fsync", "read-only"] {
            std::fs::write(&fault_file, fault).unwrap();
            assert!(store.append(vec![entry(4)]).is_err(), "{fault}");
            assert!(
                Store::open(&folder, disk(), header("f", 1), Fraction::from_f64(0.5)).is_err(),
                "{fault}"
            );
            std::fs::write(&fault_file, "").unwrap();
            let (reopened, state) =
                Store::open(&folder, disk(), header("f", 1), Fraction::from_f64(0.5)).unwrap();
            assert!(state.entries.len() >= 3 && state.term == 3, "{fault}");
            store = reopened;
            store.rewrite(&PersistentState { entries: state.entries[..3].to_vec(), ..state }).unwrap();
        }
    }
}
