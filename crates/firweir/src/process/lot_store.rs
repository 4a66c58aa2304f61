//! Lots in append-only files, one file a lot, every record with its checksum.
//!
//! A file is a row of records: length (4 bytes, little-endian), checksum (8
//! bytes) and payload. The first payload names the lot, the others are its parts
//! in order. A process that dies in the middle of an append leaves a torn record
//! at the end: its checksum does not fit, and the file is cut before it at the
//! next start.

use std::io;
use std::rc::Rc;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::process::storage::Storage;
use crate::request::record::LotKey;

/// Largest part; a larger record is damage, not a part.
pub const PART_LIMIT_BYTES: usize = 4 << 20;

/// Most parts of a lot: 4 GiB, a hundred times a step of 4,096 samples.
const PARTS_LIMIT: u32 = 4_096;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 8;
const HEAD_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;

quick_error! {
    /// Why a part is not stored or not read.
    #[derive(Debug)]
    pub enum StoreError {
        /// The vault holds this many parts; the next one goes on from there.
        OutOfOrder(held: u32) {
            display("{held} parts are held")
        }
        /// The vault does not have the lot, or not the whole of it.
        Missing {
            display("missing")
        }
        /// What is on the disk is not what was written.
        Damaged {
            display("checksum does not fit")
        }
        /// The lots would take more room than the vault may use, or the disk has.
        Full {
            display("full")
        }
        /// The disk does not read.
        Read(err: io::Error) {
            display("read: {err}")
            source(err)
        }
        /// The disk does not write.
        Write(err: io::Error) {
            display("write: {err}")
            source(err)
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Title {
    key: LotKey,
    parts: u32,
}

#[derive(Debug, Clone, Copy)]
struct Place {
    offset_bytes: u64,
    length_bytes: usize,
}

#[derive(Debug)]
struct StoredLot {
    title: Title,
    name: String,
    length_bytes: u64,
    places: Vec<Place>,
}

impl StoredLot {
    fn is_whole(&self) -> bool {
        self.places.len() == self.title.parts as usize
    }
}

/// What was found wrong in one file at the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Cut {
    /// The file.
    pub name: String,
    /// Bytes that were cut off its end; the whole file if its title is among them.
    pub cut_bytes: u64,
}

/// The lots of one vault.
#[derive(Debug)]
pub struct LotStore {
    storage: Rc<dyn Storage>,
    limit_bytes: u64,
    used_bytes: u64,
    /// Sorted by key.
    lots: Vec<StoredLot>,
}

impl LotStore {
    /// Reads every file once, and cuts off what is torn or damaged.
    ///
    /// # Errors
    ///
    /// The folder cannot be listed. A file that cannot be read is left out.
    pub fn open(storage: Rc<dyn Storage>, limit_bytes: u64) -> io::Result<(Self, Vec<Cut>)> {
        let mut store = Self {
            storage,
            limit_bytes,
            used_bytes: 0,
            lots: Vec::new(),
        };
        let mut cuts = Vec::new();
        for name in store.storage.list()? {
            if let Ok(cut) = store.open_file(&name) {
                cuts.extend(cut);
            }
        }
        Ok((store, cuts))
    }

    /// Stores one part and gives how many the vault holds. A part that it holds
    /// already is not stored again, so that a call may be repeated. The lot is
    /// durable once its last part is stored.
    ///
    /// # Errors
    ///
    /// [`StoreError::OutOfOrder`], [`StoreError::Full`] and [`StoreError::Write`];
    /// nothing of the part is kept.
    pub fn append(
        &mut self,
        key: &LotKey,
        part: u32,
        parts: u32,
        data: &[u8],
    ) -> Result<u32, StoreError> {
        if data.len() > PART_LIMIT_BYTES || parts > PARTS_LIMIT || part >= parts {
            return Err(StoreError::Damaged);
        }
        let position = match self.position(key) {
            Ok(position) => position,
            Err(_) if part > 0 => return Err(StoreError::OutOfOrder(0)),
            Err(position) => self.begin(position, key, parts)?,
        };
        let held = self.lots[position].places.len() as u32;
        if part < held {
            return Ok(held);
        }
        if part > held {
            return Err(StoreError::OutOfOrder(held));
        }
        self.append_record(position, data)?;
        if part + 1 == parts {
            self.sync(position)?;
        }
        Ok(held + 1)
    }

    /// One part of a whole lot, and how many there are.
    ///
    /// # Errors
    ///
    /// [`StoreError::Missing`], [`StoreError::Damaged`] and [`StoreError::Read`].
    pub fn read(&self, key: &LotKey, part: u32) -> Result<(u32, Vec<u8>), StoreError> {
        let position = self.position(key).map_err(|_place| StoreError::Missing)?;
        let lot = &self.lots[position];
        let place = lot.places.get(part as usize).filter(|_| lot.is_whole());
        let place = place.ok_or(StoreError::Missing)?;
        let record = self
            .storage
            .read(
                &lot.name,
                place.offset_bytes,
                HEAD_BYTES + place.length_bytes,
            )
            .map_err(StoreError::Read)?;
        let payload = checked(&record).ok_or(StoreError::Damaged)?;
        Ok((lot.title.parts, payload.to_vec()))
    }

    /// Removes the lots of a feed below a step. Steps only ever grow, so an old
    /// call that comes late removes nothing that is needed.
    pub fn drop_below(&mut self, feed: &str, floor_step: u64) {
        let old = |lot: &StoredLot| {
            let key = &lot.title.key;
            key.feed == feed && key.step < floor_step
        };
        for position in (0..self.lots.len()).rev() {
            if old(&self.lots[position]) {
                self.forget(position);
            }
        }
    }

    /// Bytes of all files.
    #[must_use]
    pub const fn used_bytes(&self) -> u64 {
        self.used_bytes
    }

    /// Number of whole lots.
    #[must_use]
    pub fn whole_lots(&self) -> usize {
        self.lots.iter().filter(|lot| lot.is_whole()).count()
    }

    fn position(&self, key: &LotKey) -> Result<usize, usize> {
        self.lots.binary_search_by(|lot| lot.title.key.cmp(key))
    }

    fn begin(&mut self, position: usize, key: &LotKey, parts: u32) -> Result<usize, StoreError> {
        let title = Title {
            key: key.clone(),
            parts,
        };
        let payload = serde_json::to_vec(&title).map_err(|err| StoreError::Write(err.into()))?;
        let lot = StoredLot {
            title,
            name: file_name(key),
            length_bytes: 0,
            places: Vec::new(),
        };
        self.lots.insert(position, lot);
        if let Err(error) = self.append_record(position, &payload) {
            self.forget(position);
            return Err(error);
        }
        self.lots[position].places.clear();
        Ok(position)
    }

    /// Appends a record. A failed append may have written a part of it, which is
    /// cut off at once, so that the next record does not stand behind garbage.
    fn append_record(&mut self, position: usize, payload: &[u8]) -> Result<(), StoreError> {
        let record = record(payload);
        let added_bytes = record.len() as u64;
        if self.used_bytes + added_bytes > self.limit_bytes {
            return Err(StoreError::Full);
        }
        let lot = &mut self.lots[position];
        if let Err(error) = self.storage.append(&lot.name, &record) {
            if self.storage.cut(&lot.name, lot.length_bytes).is_err() {
                self.forget(position);
            }
            return Err(write_error(error));
        }
        lot.places.push(Place {
            offset_bytes: lot.length_bytes,
            length_bytes: payload.len(),
        });
        lot.length_bytes += added_bytes;
        self.used_bytes += added_bytes;
        Ok(())
    }

    /// After a failed sync no one can tell what is on the disk: the lot goes.
    fn sync(&mut self, position: usize) -> Result<(), StoreError> {
        let synced = self.storage.sync(&self.lots[position].name);
        synced.map_err(|error| {
            self.forget(position);
            write_error(error)
        })
    }

    fn forget(&mut self, position: usize) {
        let lot = self.lots.remove(position);
        self.used_bytes -= lot.length_bytes;
        // A file that cannot be removed is met again at the next start.
        _ = self.storage.remove(&lot.name);
    }

    fn open_file(&mut self, name: &str) -> io::Result<Option<Cut>> {
        let mut places = Vec::new();
        let mut title = None;
        let mut length_bytes = 0;
        while let Some(payload) = self.record_at(name, length_bytes)? {
            if title.is_none() {
                title = serde_json::from_slice::<Title>(&payload).ok();
                if title.is_none() {
                    break;
                }
            } else {
                places.push(Place {
                    offset_bytes: length_bytes,
                    length_bytes: payload.len(),
                });
            }
            length_bytes += (HEAD_BYTES + payload.len()) as u64;
        }
        let whole_bytes = self.file_length(name, length_bytes)?;
        let cut = (whole_bytes > length_bytes).then(|| Cut {
            name: name.to_owned(),
            cut_bytes: whole_bytes - length_bytes,
        });
        let Some(title) = title else {
            self.storage.remove(name)?;
            return Ok(cut);
        };
        if cut.is_some() {
            self.storage.cut(name, length_bytes)?;
        }
        self.used_bytes += length_bytes;
        let lot = StoredLot {
            name: name.to_owned(),
            title,
            length_bytes,
            places,
        };
        if let Err(position) = self.position(&lot.title.key) {
            self.lots.insert(position, lot);
        }
        Ok(cut)
    }

    /// The payload of the record at an offset, or `None` if no whole one is there.
    fn record_at(&self, name: &str, offset_bytes: u64) -> io::Result<Option<Vec<u8>>> {
        let head = self.storage.read(name, offset_bytes, HEAD_BYTES)?;
        let Some(length_bytes) = payload_length(&head) else {
            return Ok(None);
        };
        let record = self
            .storage
            .read(name, offset_bytes, HEAD_BYTES + length_bytes)?;
        Ok(checked(&record).map(<[u8]>::to_vec))
    }

    /// The length of a file that is at least `from_bytes` long.
    fn file_length(&self, name: &str, from_bytes: u64) -> io::Result<u64> {
        let mut length_bytes = from_bytes;
        loop {
            let read = self.storage.read(name, length_bytes, PART_LIMIT_BYTES)?;
            if read.is_empty() {
                return Ok(length_bytes);
            }
            length_bytes += read.len() as u64;
        }
    }
}

fn file_name(key: &LotKey) -> String {
    let feed = xxh3_64(key.feed.as_bytes());
    format!(
        "{feed:016x}-{}-{}-{}.lot",
        key.step, key.generation, key.digest
    )
}

fn record(payload: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEAD_BYTES + payload.len());
    record.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    record.extend_from_slice(&xxh3_64(payload).to_le_bytes());
    record.extend_from_slice(payload);
    record
}

fn payload_length(record: &[u8]) -> Option<usize> {
    let length = record.get(..LENGTH_BYTES)?.try_into().ok()?;
    let length = u32::from_le_bytes(length) as usize;
    (length <= PART_LIMIT_BYTES).then_some(length)
}

/// The payload of a whole record whose checksum fits.
fn checked(record: &[u8]) -> Option<&[u8]> {
    let length = payload_length(record)?;
    let checksum = record.get(LENGTH_BYTES..HEAD_BYTES)?.try_into().ok()?;
    let payload = record.get(HEAD_BYTES..HEAD_BYTES + length)?;
    (xxh3_64(payload) == u64::from_le_bytes(checksum)).then_some(payload)
}

fn write_error(error: io::Error) -> StoreError {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => StoreError::Full,
        _ => StoreError::Write(error),
    }
}
