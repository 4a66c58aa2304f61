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

use crate::connection::object::Stamped;
use crate::version::check::Problem;
use crate::version::config::Config;

/// Changes that the head remembers: enough to settle a write whose reply was
/// lost while other operators went on.
const LOG_LENGTH: usize = 64;

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
