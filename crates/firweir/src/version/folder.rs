//! A folder of JSON files merged in the order of their names, and the head that
//! the object API holds of it.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::object::Stamped;
use crate::version::check::Problem;
use crate::version::config::Config;

/// Changes that the head remembers: enough to settle a write whose reply was
/// lost while other operators went on.
const LOG_LENGTH: usize = 64;

/// A revision further ahead than this is not believed of a peer: ten days of the
/// 6,900 changes a day that the system is built for. The object API is believed.
const FURTHEST_AHEAD: u64 = 69_000;

quick_error! {
    /// Why a folder cannot be applied.
    #[derive(Debug)]
    pub enum FolderError {
        /// The folder or a file cannot be read.
        Read(path: PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// A file is not JSON, or not an object.
        Syntax(file: String, reason: String) {
            display("{file}: {reason}")
        }
        /// The folder holds no `.json` file.
        Empty(path: PathBuf) {
            display("{}: no .json file", path.display())
        }
        /// Keys are missing, unknown or out of range.
        Invalid(problems: Vec<FileProblem>) {
            display("{}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
    }
}

/// A problem and the last file that sets its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileProblem {
    /// The file, or all of them for a key that none sets.
    pub file: String,
    /// The key and what is allowed.
    pub problem: Problem,
}

impl std::fmt::Display for FileProblem {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Problem { path, allowed } = &self.problem;
        write!(formatter, "{}: {path}: allowed is {allowed}", self.file)
    }
}

/// One file of the folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct File {
    /// Its name, which orders the merge.
    pub name: String,
    /// Its content.
    pub content: Value,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Revision that it made.
    pub revision: u64,
    /// Names the write, so that a lost reply can be settled.
    pub write_id: String,
    /// Files that it set or removed.
    pub files: Vec<String>,
}

/// The configuration as the object API holds it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Grows by one with every accepted change.
    pub revision: u64,
    /// Files sorted by name.
    pub files: Vec<File>,
    /// The newest changes, oldest first.
    pub log: Vec<Change>,
}

impl Head {
    /// Merges the files in name order.
    #[must_use]
    pub fn document(&self) -> Value {
        let mut merged = Value::Object(serde_json::Map::new());
        for file in &self.files {
            json_patch::merge(&mut merged, &file.content);
        }
        merged
    }

    /// Checks the merged document whole.
    ///
    /// # Errors
    ///
    /// Names every key that is missing, unknown or out of range, with the last
    /// file that sets it.
    pub fn check(&self) -> Result<(), FolderError> {
        let problems: Vec<FileProblem> = Config::problems(&self.document())
            .into_iter()
            .map(|problem| FileProblem {
                file: self.last_file_with(&problem.path),
                problem,
            })
            .collect();
        if problems.is_empty() {
            Ok(())
        } else {
            Err(FolderError::Invalid(problems))
        }
    }

    /// The head after this change, or `None` if it changes nothing.
    #[must_use]
    pub fn with_folder(&self, folder: &[File], write_id: &str) -> Option<Self> {
        let changed = changed_files(&self.files, folder);
        if changed.is_empty() {
            return None;
        }
        let revision = self.revision + 1;
        let mut log = self.log.clone();
        log.push(Change {
            revision,
            write_id: write_id.to_owned(),
            files: changed,
        });
        if log.len() > LOG_LENGTH {
            log.remove(0);
        }
        Some(Self {
            revision,
            files: folder.to_vec(),
            log,
        })
    }

    /// The revision that this write made, if the log still names it.
    #[must_use]
    pub fn revision_of(&self, write_id: &str) -> Option<u64> {
        self.log
            .iter()
            .find(|change| change.write_id == write_id)
            .map(|change| change.revision)
    }

    fn last_file_with(&self, path: &str) -> String {
        let parts: Vec<&str> = path.split('.').collect();
        for length in (1..=parts.len()).rev() {
            let pointer = format!("/{}", parts[..length].join("/"));
            let holds = |file: &&File| file.content.pointer(&pointer).is_some();
            if let Some(file) = self.files.iter().rev().find(holds) {
                return file.name.clone();
            }
        }
        self.files
            .iter()
            .map(|file| file.name.as_str())
            .collect::<Vec<_>>()
            .join(", ")
    }
}

quick_error! {
    /// Why a head of a peer is not taken in.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum HeadError {
        /// Its log does not count up to its revision.
        Inconsistent(revision: u64) {
            display("head of revision {revision} contradicts its log")
        }
        /// It is further ahead than changes can have been accepted.
        FromTheFuture(revision: u64, held: u64) {
            display("revision {revision} is too far ahead of {held}")
        }
        /// Its changes do not lead from the held head to the one they name.
        DoesNotFollow(base: u64, held: u64) {
            display("changes since {base} do not lead on from {held}")
        }
    }
}

/// News of the configuration from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadNews {
    /// The whole head.
    Whole(Head),
    /// What was changed since an older one.
    Changes(HeadChanges),
}

/// What a node that holds an older head lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadChanges {
    /// Revision that they go on from.
    pub base: u64,
    /// Changes, oldest first.
    pub log: Vec<Change>,
    /// Content of the files that they set; a file of the log that is not here
    /// was removed.
    pub files: Vec<File>,
    /// Digest of the head that they lead to.
    pub digest: u64,
}

impl Head {
    /// What a node at `base` lacks, or `None` if the log does not reach back so far.
    #[must_use]
    pub fn changes_since(&self, base: u64) -> Option<HeadChanges> {
        if !self.log_reaches(base) {
            return None;
        }
        let newer = |change: &&Change| change.revision > base;
        let log: Vec<Change> = self.log.iter().filter(newer).cloned().collect();
        let touched = |name: &String| log.iter().any(|change| change.files.contains(name));
        let files = self.files.iter().filter(|file| touched(&file.name));
        Some(HeadChanges {
            base,
            files: files.cloned().collect(),
            digest: self.digest(),
            log,
        })
    }

    /// The head after these changes, or `None` if they do not lead there from this one.
    #[must_use]
    pub fn with_changes(&self, changes: &HeadChanges) -> Option<Self> {
        if changes.base != self.revision {
            return None;
        }
        let touched = |name: &String| changes.log.iter().any(|it| it.files.contains(name));
        let mut files: Vec<File> = self.files.clone();
        files.retain(|file| !touched(&file.name));
        files.extend(changes.files.iter().cloned());
        files.sort_by(|left, right| left.name.cmp(&right.name));
        let mut log = self.log.clone();
        log.extend(changes.log.iter().cloned());
        log.drain(..log.len().saturating_sub(LOG_LENGTH));
        let revision = log.last()?.revision;
        let next = Self {
            revision,
            files,
            log,
        };
        (next.digest() == changes.digest).then_some(next)
    }

    /// The newer head that the news lead to, or `None` if they are not newer: a
    /// held revision is a floor that nothing lowers.
    ///
    /// # Errors
    ///
    /// The news contradict themselves or the held head, or no fleet can have
    /// accepted so many changes.
    pub fn advanced_by(&self, news: HeadNews) -> Result<Option<Self>, HeadError> {
        let revision = news.revision();
        if revision <= self.revision {
            return Ok(None);
        }
        if self.revision > 0 && revision - self.revision > FURTHEST_AHEAD {
            return Err(HeadError::FromTheFuture(revision, self.revision));
        }
        match news {
            HeadNews::Whole(head) if head.is_consistent() => Ok(Some(head)),
            HeadNews::Whole(head) => Err(HeadError::Inconsistent(head.revision)),
            HeadNews::Changes(changes) => self
                .with_changes(&changes)
                .map(Some)
                .ok_or(HeadError::DoesNotFollow(changes.base, self.revision)),
        }
    }

    /// Every change after `base` is in the log.
    #[must_use]
    pub fn log_reaches(&self, base: u64) -> bool {
        let oldest = self.log.first().map_or(u64::MAX, |change| change.revision);
        base >= self.revision || base + 1 >= oldest
    }

    /// Its log counts up by one and ends at its revision, as every accepted head's does.
    #[must_use]
    pub fn is_consistent(&self) -> bool {
        let consecutive = self
            .log
            .windows(2)
            .all(|pair| pair[1].revision == pair[0].revision + 1);
        let last = self.log.last().map_or(0, |change| change.revision);
        consecutive && last == self.revision && self.log.len() <= LOG_LENGTH
    }

    fn digest(&self) -> u64 {
        xxh3_64(&serde_json::to_vec(self).unwrap_or_default())
    }
}

impl HeadNews {
    /// Revision that they lead to.
    #[must_use]
    pub fn revision(&self) -> u64 {
        match self {
            Self::Whole(head) => head.revision,
            Self::Changes(changes) => changes.log.last().map_or(0, |change| change.revision),
        }
    }
}

impl Stamped for Head {
    fn write_id(&self) -> &str {
        self.log.last().map_or("", |change| &change.write_id)
    }
}

/// Names of files that differ between two folders.
#[must_use]
pub fn changed_files(old: &[File], new: &[File]) -> Vec<String> {
    let differs = |file: &&File, other: &[File]| !other.contains(file);
    let mut names: Vec<String> = old
        .iter()
        .filter(|file| differs(file, new))
        .map(name_of)
        .collect();
    names.extend(new.iter().filter(|file| differs(file, old)).map(name_of));
    names.sort();
    names.dedup();
    names
}

fn name_of(file: &File) -> String {
    file.name.clone()
}

/// Reads a folder's `.json` files, sorted by name.
///
/// # Errors
///
/// The folder or a file cannot be read, or a file is not a JSON object.
pub fn read_folder(folder: &Path) -> Result<Vec<File>, FolderError> {
    let read_error = |path: &Path| {
        let path = path.to_owned();
        move |err| FolderError::Read(path, err)
    };
    let mut files = Vec::new();
    for item in fs::read_dir(folder).map_err(read_error(folder))? {
        let path = item.map_err(read_error(folder))?.path();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let name = path
            .file_name()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let text = fs::read_to_string(&path).map_err(read_error(&path))?;
        files.push(parse_file(name, &text)?);
    }
    if files.is_empty() {
        return Err(FolderError::Empty(folder.to_owned()));
    }
    files.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(files)
}

fn parse_file(name: String, text: &str) -> Result<File, FolderError> {
    match serde_json::from_str::<Value>(text) {
        Ok(content) if content.is_object() => Ok(File { name, content }),
        Ok(_) => Err(FolderError::Syntax(name, "not a JSON object".to_owned())),
        Err(error) => Err(FolderError::Syntax(name, error.to_string())),
    }
}
