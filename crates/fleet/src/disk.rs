//! Disk access of the store, and a wrapper that injects faults.

use std::fs::{File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Disk access of the store. A call that fails may have written part of its data.
pub trait Disk: Send {
    /// Reads a whole file; none if it does not exist.
    ///
    /// # Errors
    /// The error of the operating system.
    fn read(&mut self, file: &Path) -> io::Result<Option<Vec<u8>>>;
    /// Appends bytes to a file, which is created if need be, and waits until they are on disk.
    ///
    /// # Errors
    /// The error of the operating system; some of the bytes may have been written.
    fn append(&mut self, file: &Path, bytes: &[u8]) -> io::Result<()>;
    /// Atomically replaces the contents of a file and waits until they are on disk.
    ///
    /// # Errors
    /// The error of the operating system; the file has either its old or its new contents.
    fn replace(&mut self, file: &Path, bytes: &[u8]) -> io::Result<()>;
}

/// The disk of the operating system.
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
        let temporary = file.with_extension("new");
        let mut f = File::create(&temporary)?;
        f.write_all(bytes)?;
        f.sync_all()?;
        std::fs::rename(&temporary, file)?;
        // Without syncing the directory, the name may still refer to the old file after a power failure.
        match file.parent() {
            Some(folder) => File::open(folder)?.sync_all(),
            None => Ok(()),
        }
    }
}

/// A disk with injected faults, for fault-injection tests: the first word of a file names the current fault.
///
/// `full`: writes fail with "storage full". `fsync`: data is written, but the call fails as if the sync had
/// failed. `torn`: half of the appended data is written, then the call fails. `read-only`: writes fail with
/// "read-only file system". `stall MS`: each write is delayed by that many milliseconds, at most 60,000.
/// Without the file, or with any other word, no fault is injected.
pub struct FaultyDisk<D> {
    disk: D,
    fault_file: PathBuf,
}

impl<D: Disk> FaultyDisk<D> {
    /// Wraps a disk; `fault_file` names the fault to inject.
    pub fn new(disk: D, fault_file: PathBuf) -> FaultyDisk<D> {
        FaultyDisk { disk, fault_file }
    }

    fn fault(&self) -> (String, u64) {
        let text = std::fs::read_to_string(&self.fault_file).unwrap_or_default();
        let mut fields = text.split_whitespace();
        let fault = fields.next().unwrap_or_default().to_owned();
        (fault, fields.next().and_then(|field| field.parse().ok()).unwrap_or(0))
    }

    fn inject_before_write(&self) -> io::Result<()> {
        match self.fault() {
            (fault, _) if fault == "full" => Err(io::Error::from(io::ErrorKind::StorageFull)),
            (fault, _) if fault == "read-only" => Err(io::Error::from(io::ErrorKind::ReadOnlyFilesystem)),
            (fault, ms) if fault == "stall" => {
                std::thread::sleep(Duration::from_millis(ms.min(60_000)));
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn inject_after_write(&self) -> io::Result<()> {
        match self.fault().0.as_str() {
            "fsync" => Err(io::Error::other("injected fault: fsync failed")),
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
            return Err(io::Error::other("injected fault: torn write"));
        }
        self.disk.append(file, bytes)?;
        self.inject_after_write()
    }

    fn replace(&mut self, file: &Path, bytes: &[u8]) -> io::Result<()> {
        self.inject_before_write()?;
        if self.fault().0 == "torn" {
            return Err(io::Error::other("injected fault: torn write"));
        }
        self.disk.replace(file, bytes)?;
        self.inject_after_write()
    }
}
