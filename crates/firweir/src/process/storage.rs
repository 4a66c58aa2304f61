//! Files under one data folder, behind an interface so that a replay keeps them
//! in memory.
//!
//! Calls block: the vault does nothing besides, and a disk that hangs should
//! hold up its vault alone.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Write;
use std::path::PathBuf;

/// Append-only files, named within one folder.
pub trait Storage: std::fmt::Debug {
    /// Names of all files, sorted.
    fn list(&self) -> io::Result<Vec<String>>;
    /// Up to `length_bytes` bytes of a file from an offset; fewer at its end.
    fn read(&self, name: &str, offset_bytes: u64, length_bytes: usize) -> io::Result<Vec<u8>>;
    /// Adds bytes at the end of a file, which is made if there is none.
    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file and its name durable.
    fn sync(&self, name: &str) -> io::Result<()>;
    /// Cuts a file off at a length.
    fn cut(&self, name: &str, length_bytes: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
}

/// Files on the machine's disk.
#[derive(Debug)]
pub struct DiskStorage {
    folder: PathBuf,
}

impl DiskStorage {
    /// Files in this folder, which is made if there is none.
    ///
    /// # Errors
    ///
    /// The folder cannot be made.
    pub fn open(folder: PathBuf) -> io::Result<Self> {
        fs::create_dir_all(&folder)?;
        Ok(Self { folder })
    }
}

impl Storage for DiskStorage {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.folder)? {
            names.extend(item?.file_name().into_string());
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str, offset_bytes: u64, length_bytes: usize) -> io::Result<Vec<u8>> {
        let mut file = File::open(self.folder.join(name))?;
        file.seek(SeekFrom::Start(offset_bytes))?;
        let mut bytes = Vec::new();
        file.take(length_bytes as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let path = self.folder.join(name);
        let mut file = File::options().create(true).append(true).open(path)?;
        file.write_all(bytes)
    }

    fn sync(&self, name: &str) -> io::Result<()> {
        File::open(self.folder.join(name))?.sync_all()?;
        // The name of a new file is durable once its folder is.
        File::open(&self.folder)?.sync_all()
    }

    fn cut(&self, name: &str, length_bytes: u64) -> io::Result<()> {
        let path = self.folder.join(name);
        let file = File::options().write(true).open(path)?;
        file.set_len(length_bytes)?;
        file.sync_all()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.folder.join(name))
    }
}
