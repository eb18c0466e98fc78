//! Access to the disk for the store, and a wrapper that injects faults.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The store's access to its disk. A call that fails may still have written a part.
pub trait Disk: Send {
    /// All bytes of a file; none where there is no such file.
    ///
    /// # Errors
    /// What the machine says.
    fn read(&mut self, file: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Adds bytes to the end of a file and waits until they are on disk.
    ///
    /// # Errors
    /// What the machine says; some of the bytes may be there.
    fn append(&mut self, file: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Puts a file with these bytes in the place of another, whole or not at all, and waits until it is on disk.
    ///
    /// # Errors
    /// What the machine says; the old file is there.
    fn replace(&mut self, file: &Path, bytes: &[u8]) -> io::Result<()>;
}

/// The machine's disk.
#[derive(Debug, Default)]
pub struct RealDisk {
    open: Option<(PathBuf, File)>,
}

impl Disk for RealDisk {
    fn read(&mut self, file: &Path) -> io::Result<Option<Vec<u8>>> {
        self.open = None;
        match File::open(file) {
            Ok(mut f) => {
                let mut bytes = Vec::new();
                f.read_to_end(&mut bytes)?;
                Ok(Some(bytes))
            }
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(e) => Err(e),
        }
    }

    fn append(&mut self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        if self.open.as_ref().is_none_or(|(path, _)| path != file) {
            let f = OpenOptions::new().append(true).create(true).open(file)?;
            self.open = Some((file.to_owned(), f));
        }
        let Some((_, f)) = &mut self.open else { return Ok(()) };
        f.write_all(bytes)?;
        f.sync_data()
    }

    fn replace(&mut self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        self.open = None;
        let beside = file.with_extension("new");
        let mut f = File::create(&beside)?;
        f.write_all(bytes)?;
        f.sync_all()?;
        std::fs::rename(&beside, file)?;
        // Danger: without this the name may still lead to the old file after a loss of power.
        match file.parent() {
            Some(folder) => File::open(folder)?.sync_all(),
            None => Ok(()),
        }
    }
}

/// A disk with injected faults, for trials: the first word of a file names the present fault.
///
/// `full`: nothing can be written. `fsync`: all is written, and then said not to be on disk. `torn`: half of what is
/// appended is written. `read-only`: no file can be opened for writing. `stall MS`: each write takes so much longer.
/// Without the file, or with any other word, all is well.
pub struct FaultyDisk<D> {
    disk: D,
    fault_file: PathBuf,
}

impl<D: Disk> FaultyDisk<D> {
    /// Another disk, with the faults that a file names.
    pub fn new(disk: D, fault_file: PathBuf) -> FaultyDisk<D> {
        FaultyDisk { disk, fault_file }
    }

    fn fault(&self) -> (String, u64) {
        let text = std::fs::read_to_string(&self.fault_file).unwrap_or_default();
        let mut words = text.split_whitespace();
        let word = words.next().unwrap_or_default().to_owned();
        (word, words.next().and_then(|w| w.parse().ok()).unwrap_or(0))
    }

    fn inject_before_write(&self) -> io::Result<()> {
        match self.fault() {
            (word, _) if word == "full" => Err(io::Error::from(io::ErrorKind::StorageFull)),
            (word, _) if word == "read-only" => Err(io::Error::from(io::ErrorKind::ReadOnlyFilesystem)),
            (word, ms) if word == "stall" => {
                std::thread::sleep(Duration::from_millis(ms.min(60_000)));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn inject_after_write(&self) -> io::Result<()> {
        match self.fault().0.as_str() {
            "fsync" => Err(io::Error::other("not known to be on disk")),
            _ => Ok(()),
        }
    }
}

impl<D: Disk> Disk for FaultyDisk<D> {
    fn read(&mut self, file: &Path) -> io::Result<Option<Vec<u8>>> {
        self.disk.read(file)
    }

    fn append(&mut self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        self.inject_before_write()?;
        if self.fault().0 == "torn" {
            self.disk.append(file, &bytes[..bytes.len() / 2])?;
            return Err(io::Error::other("torn"));
        }
        self.disk.append(file, bytes)?;
        self.inject_after_write()
    }

    fn replace(&mut self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        self.inject_before_write()?;
        if self.fault().0 == "torn" {
            return Err(io::Error::other("torn"));
        }
        self.disk.replace(file, bytes)?;
        self.inject_after_write()
    }
}
