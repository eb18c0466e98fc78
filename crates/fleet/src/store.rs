//! A voter's persistent state on disk.
//!
//! One file of frames: the whole state at some time, then records as they came. An incomplete frame at the end was
//! being written when the machine stopped: nothing was promised by it, and it is cut off. A corrupt frame in the middle
//! means that promises are lost, and the store is refused.

use crate::disk::Disk;
use crate::frame::{self, FrameFault};
use pearfork_ledger::raft::{PersistentState, Record};
use pearfork_ledger::{Fraction, LeaseTable};
use serde::{Deserialize, Serialize};
use std::fs::{File, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

/// Longest frame in a file.
const MAX_FRAME_BYTES: usize = 256 << 20;
/// Version of the file's format.
const FORMAT: u32 = 1;

/// Why a store can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The machine does not allow it.
    #[error("{file}: {source}")]
    Disk {
        /// Which file or folder.
        file: PathBuf,
        /// What the machine says.
        source: io::Error,
    },
    /// Another process has the folder.
    #[error("{0}: another process uses this folder")]
    Locked(PathBuf),
    /// The file is corrupt: promises are lost.
    #[error("{file}, byte {at}: {why}; promises of this voter may be lost, and it must not vote by this file. Mend the disk, \
             or remove the folder and let the host join under another number")]
    Corrupt {
        /// Which file.
        file: PathBuf,
        /// Where.
        at: usize,
        /// What is wrong.
        why: String,
    },
    /// Written by another release, or for another fleet or host.
    #[error("{file} is {what}")]
    Foreign {
        /// Which file.
        file: PathBuf,
        /// What it is.
        what: String,
    },
}

/// Whose state this is; the first frame of a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
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

/// A folder of this process alone.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Held for as long as the process uses the folder; the machine lets go of it when the process ends.
    _lock: File,
}

impl Folder {
    /// Makes the folder where there is none, and takes it.
    ///
    /// # Errors
    /// The machine does not allow it, or another process has it.
    pub fn take(path: &Path) -> Result<Folder, StoreError> {
        let disk_error = |file: &Path| {
            let file = file.to_owned();
            move |source| StoreError::Disk { file, source }
        };
        std::fs::create_dir_all(path).map_err(disk_error(path))?;
        let name = path.join("lock");
        let lock = match File::create(&name) {
            Ok(lock) => lock,
            // A folder that can only be read is still somebody's: the lock is had on what is there.
            Err(e) => File::open(&name).map_err(|_| disk_error(&name)(e))?,
        };
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.to_owned(), _lock: lock }),
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
    owner: Owner,
}

impl Store {
    /// Reads what is there and writes it anew: what is used from here on is known to be on disk.
    ///
    /// Danger: after a failed fsync the system may show bytes that are not on disk. They are written once more, to a
    /// new file, before anything is promised on them.
    ///
    /// # Errors
    /// The disk fails, or what is there can't be used.
    pub fn open(
        folder: &Folder,
        mut disk: Box<dyn Disk>,
        owner: Owner,
        lendable: Fraction,
    ) -> Result<(Store, PersistentState), StoreError> {
        let file = folder.state_file();
        let disk_error = |source| StoreError::Disk { file: file.clone(), source };
        let image = match disk.read(&file).map_err(disk_error)? {
            Some(bytes) => read(&file, &bytes, &owner)?,
            None => None,
        };
        let image = image.unwrap_or_else(|| PersistentState {
            table: LeaseTable::new(lendable),
            ..PersistentState::default()
        });
        if image.table.lendable() != lendable {
            let what = format!("of a fleet whose floors leave {}, not {lendable}", image.table.lendable());
            return Err(StoreError::Foreign { file, what });
        }
        let mut store = Store { file, disk, owner };
        store.rewrite(&image)?;
        Ok((store, image))
    }

    /// Writes records after what is there. On disk when this returns.
    ///
    /// # Errors
    /// The disk fails. Nothing more may be written through this store: what is on disk is not known any more.
    pub fn append(&mut self, records: Vec<Record>) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        records.into_iter().for_each(|r| frame::put(&mut bytes, &StoredFrame::Record(r)));
        self.disk
            .append(&self.file, &bytes)
            .map_err(|source| StoreError::Disk { file: self.file.clone(), source })
    }

    /// Writes all anew. On disk when this returns.
    ///
    /// # Errors
    /// The disk fails, and the old file is there.
    pub fn rewrite(&mut self, image: &PersistentState) -> Result<(), StoreError> {
        let mut bytes = Vec::new();
        frame::put(&mut bytes, &self.owner);
        frame::put(&mut bytes, &StoredFrame::PersistentState(image.clone()));
        self.disk
            .replace(&self.file, &bytes)
            .map_err(|source| StoreError::Disk { file: self.file.clone(), source })
    }
}

/// The owner's record for a host of a fleet.
pub fn owner(fleet: &str, host: u16) -> Owner {
    Owner { format: FORMAT, fleet: fleet.to_owned(), host }
}

/// Puts together what a file holds; none where not even its image was whole, and so nothing was ever promised.
///
/// # Errors
/// It is spoilt, or somebody else's.
pub fn read(file: &Path, bytes: &[u8], owner: &Owner) -> Result<Option<PersistentState>, StoreError> {
    let corrupt = |at: usize, why: String| StoreError::Corrupt { file: file.to_owned(), at, why };
    let fault = |at: usize| move |e: FrameFault| corrupt(at, e.to_string());
    let Some((found, mut at)) = frame::get::<Owner>(bytes, MAX_FRAME_BYTES).map_err(fault(0))? else {
        // The file is put in place whole: a short one was never ours.
        return if bytes.is_empty() { Ok(None) } else { Err(corrupt(0, "it ends in its head".to_owned())) };
    };
    if found != *owner {
        let what = format!("format {} of host {} of fleet `{}`", found.format, found.host, found.fleet);
        return Err(StoreError::Foreign { file: file.to_owned(), what });
    }
    let mut image = match frame::get::<StoredFrame>(&bytes[at..], MAX_FRAME_BYTES).map_err(fault(at))? {
        Some((StoredFrame::PersistentState(image), length)) => {
            at += length;
            image
        }
        _ => return Err(corrupt(at, "no image comes first".to_owned())),
    };
    while at < bytes.len() {
        match frame::get::<StoredFrame>(&bytes[at..], MAX_FRAME_BYTES) {
            Ok(Some((StoredFrame::Record(record), length))) => {
                if !image.add(record) {
                    return Err(corrupt(at, "a record does not follow on the one before".to_owned()));
                }
                at += length;
            }
            Ok(Some((StoredFrame::PersistentState(_), _))) => {
                return Err(corrupt(at, "a second image".to_owned()))
            }
            // A length that was spoilt reads as a frame that is not whole.
            Ok(None) if is_followed_by_frame(&bytes[at..]) => {
                return Err(corrupt(at, "a frame has no end".to_owned()))
            }
            // Not whole: it was being written when the machine stopped.
            Ok(None) => break,
            // Of the last write some blocks may be there and others not. Only what is followed by a whole frame was
            // certainly on disk before it.
            Err(e) if is_followed_by_frame(&bytes[at..]) => return Err(corrupt(at, e.to_string())),
            Err(_) => break,
        }
    }
    Ok(Some(image))
}

/// Whether any whole frame begins after the first byte: then what comes before it was once promised.
fn is_followed_by_frame(bytes: &[u8]) -> bool {
    (1..bytes.len().saturating_sub(frame::HEADER_BYTES))
        .any(|at| matches!(frame::get::<StoredFrame>(&bytes[at..], MAX_FRAME_BYTES), Ok(Some(_))))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::disk::{FaultyDisk, RealDisk};
    use pearfork_ledger::{Change, Entry, HostNumber};

    struct Scratch(PathBuf);

    impl Scratch {
        fn new(name: &str) -> Scratch {
            let path = std::env::temp_dir().join(format!("pearfork-store-{name}-{}", std::process::id()));
            let _ = std::fs::remove_dir_all(&path);
            Scratch(path)
        }
    }

    impl Drop for Scratch {
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

    fn open(folder: &Folder) -> Result<(Store, PersistentState), StoreError> {
        Store::open(folder, Box::<RealDisk>::default(), owner("f", 1), Fraction::from_f64(0.5))
    }

    #[test]
    fn what_was_written_is_read_again_and_a_second_process_is_refused() {
        let scratch = Scratch::new("again");
        let folder = Folder::take(&scratch.0).unwrap();
        let (mut store, image) = open(&folder).unwrap();
        assert_eq!((image.term, image.entries.len()), (0, 0));
        store.append(records()).unwrap();
        assert!(matches!(Folder::take(&scratch.0), Err(StoreError::Locked(_))));
        drop((store, folder));
        let folder = Folder::take(&scratch.0).unwrap();
        let (_, image) = open(&folder).unwrap();
        assert_eq!((image.term, image.voted_for, image.entries.len()), (3, Some(HostNumber(1)), 3));
        let other = Store::open(&folder, Box::<RealDisk>::default(), owner("g", 1), Fraction::from_f64(0.5));
        assert!(matches!(other, Err(StoreError::Foreign { .. })));
        let other = Store::open(&folder, Box::<RealDisk>::default(), owner("f", 1), Fraction::from_f64(0.4));
        assert!(matches!(other, Err(StoreError::Foreign { .. })));
    }

    /// Cut off at every byte, and with every byte flipped: never a panic, never a promise that was not made, and one
    /// that was made is missing only where the file says that it is spoilt or ends there.
    #[test]
    fn torn_and_flipped_files_are_found_or_lose_their_last_write_alone() {
        let scratch = Scratch::new("torn");
        let folder = Folder::take(&scratch.0).unwrap();
        let (mut store, _) = open(&folder).unwrap();
        let head = std::fs::read(folder.state_file()).unwrap().len();
        let mut ends = vec![head];
        for record in records() {
            store.append(vec![record]).unwrap();
            ends.push(std::fs::read(folder.state_file()).unwrap().len());
        }
        let bytes = std::fs::read(folder.state_file()).unwrap();
        let whole = read(&folder.state_file(), &bytes, &owner("f", 1)).unwrap().unwrap();
        for cut in 0..bytes.len() {
            let got = read(&folder.state_file(), &bytes[..cut], &owner("f", 1));
            let known = ends.iter().filter(|e| **e <= cut).count();
            match got {
                Ok(Some(image)) => {
                    assert_eq!(image.entries.len(), known.saturating_sub(2), "cut at {cut}");
                    assert_eq!(image.term > 0, known >= 2, "cut at {cut}");
                }
                Ok(None) => assert_eq!(cut, 0),
                Err(_) => assert!(cut < head, "cut at {cut}"),
            }
        }
        let last = ends[ends.len() - 2];
        for at in 0..bytes.len() {
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 0x10;
            match read(&folder.state_file(), &spoilt, &owner("f", 1)) {
                Ok(Some(image)) => {
                    assert!(at >= last, "a flip at {at} went unseen");
                    assert_eq!(image.entries.len(), 2);
                }
                Ok(None) => panic!("a flip at {at} made the file empty"),
                Err(_) => {}
            }
        }
        assert_eq!(whole.entries.len(), 3);
    }

    #[test]
    fn a_disk_in_trouble_says_so_and_what_was_promised_before_stays() {
        let scratch = Scratch::new("trouble");
        let folder = Folder::take(&scratch.0).unwrap();
        let trouble = scratch.0.join("trouble");
        let disk = || Box::new(FaultyDisk::new(RealDisk::default(), trouble.clone()));
        let (mut store, _) = Store::open(&folder, disk(), owner("f", 1), Fraction::from_f64(0.5)).unwrap();
        store.append(records()).unwrap();
        for word in ["full", "torn", "fsync", "read-only"] {
            std::fs::write(&trouble, word).unwrap();
            assert!(store.append(vec![entry(4)]).is_err(), "{word}");
            assert!(Store::open(&folder, disk(), owner("f", 1), Fraction::from_f64(0.5)).is_err(), "{word}");
            std::fs::write(&trouble, "").unwrap();
            let (again, image) =
                Store::open(&folder, disk(), owner("f", 1), Fraction::from_f64(0.5)).unwrap();
            assert!(image.entries.len() >= 3 && image.term == 3, "{word}");
            store = again;
            store.rewrite(&PersistentState { entries: image.entries[..3].to_vec(), ..image }).unwrap();
        }
    }
}
