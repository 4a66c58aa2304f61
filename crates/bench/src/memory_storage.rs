//! Stand-in for a vault's disk: files in memory, which outlive the process that
//! wrote them, until the disk is lost.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use firweir::process::storage::Storage;

/// What is wrong with a disk.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DiskTrouble {
    /// Nothing.
    #[default]
    None,
    /// No room is left: half of an append is written, then it fails.
    Full,
    /// Reads fail.
    Unreadable,
    /// Nothing is made durable.
    Unsynced,
}

#[derive(Debug, Default)]
struct Disk {
    /// Sorted by name.
    files: Vec<(String, Vec<u8>)>,
    trouble: DiskTrouble,
}

/// A disk; clones share its files.
#[derive(Debug, Clone, Default)]
pub struct MemoryStorage {
    disk: Rc<RefCell<Disk>>,
}

impl MemoryStorage {
    /// Loses every file.
    pub fn lose_all(&self) {
        self.disk.borrow_mut().files.clear();
    }

    /// Lets something be wrong from now on.
    pub fn set_trouble(&self, trouble: DiskTrouble) {
        self.disk.borrow_mut().trouble = trouble;
    }

    /// Changes the bytes of every file.
    pub fn alter(&self, change: impl Fn(&mut Vec<u8>)) {
        for (_, bytes) in &mut self.disk.borrow_mut().files {
            change(bytes);
        }
    }

    fn fail_on(&self, trouble: DiskTrouble, kind: io::ErrorKind) -> io::Result<()> {
        if self.disk.borrow().trouble == trouble {
            return Err(kind.into());
        }
        Ok(())
    }
}

impl Disk {
    fn position(&self, name: &str) -> Result<usize, usize> {
        self.files
            .binary_search_by(|(file, _)| file.as_str().cmp(name))
    }

    fn found(&self, name: &str) -> io::Result<usize> {
        self.position(name)
            .map_err(|_place| io::ErrorKind::NotFound.into())
    }
}

impl Storage for MemoryStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let disk = self.disk.borrow();
        Ok(disk.files.iter().map(|(name, _)| name.clone()).collect())
    }

    fn read(&self, name: &str, offset_bytes: u64, length_bytes: usize) -> io::Result<Vec<u8>> {
        self.fail_on(DiskTrouble::Unreadable, io::ErrorKind::Other)?;
        let disk = self.disk.borrow();
        let bytes = &disk.files[disk.found(name)?].1;
        let from = bytes.len().min(offset_bytes as usize);
        let to = bytes.len().min(from + length_bytes);
        Ok(bytes[from..to].to_vec())
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let full = self.fail_on(DiskTrouble::Full, io::ErrorKind::StorageFull);
        let written = if full.is_err() {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        let mut disk = self.disk.borrow_mut();
        let position = match disk.position(name) {
            Ok(position) => position,
            Err(position) => {
                disk.files.insert(position, (name.to_owned(), Vec::new()));
                position
            }
        };
        disk.files[position].1.extend_from_slice(&bytes[..written]);
        full
    }

    fn sync(&self, _name: &str) -> io::Result<()> {
        self.fail_on(DiskTrouble::Unsynced, io::ErrorKind::Other)
    }

    fn cut(&self, name: &str, length_bytes: u64) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        let position = disk.found(name)?;
        disk.files[position].1.truncate(length_bytes as usize);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        let position = disk.found(name)?;
        disk.files.remove(position);
        Ok(())
    }
}
