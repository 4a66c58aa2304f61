//! What all VMs logged about one request, item or submission, in order of time.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use quick_error::quick_error;

/// Key of the time of a line.
const TIME: &str = "time_ms=";

quick_error! {
    /// Why nothing can be explained.
    #[derive(Debug)]
    pub enum ExplainError {
        /// A file cannot be read.
        File(path: PathBuf, err: io::Error) {
            display("{}: {err}", path.display())
            source(err)
        }
        /// No line of a file is an event.
        Damaged(path: PathBuf) {
            display("{}: no line is an event with {TIME}", path.display())
        }
        /// No event names the id.
        Unknown(id: String, events: usize) {
            display("no event names {id}, of {events} read")
        }
    }
}

/// One event that names the id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// When, by its VM's clock.
    pub time_ms: u64,
    /// Its keys and values, without the time.
    pub text: String,
}

/// All that is known of an id.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Explanation {
    /// Events, oldest first.
    pub events: Vec<Seen>,
    /// Lines that are no events: a process that is killed may leave half of its last one.
    pub unreadable: usize,
}

/// Reads logs and gathers what they say of an id.
///
/// # Errors
///
/// A file cannot be read or holds no event, or no event names the id.
pub fn explain(id: &str, logs: &[PathBuf]) -> Result<Explanation, ExplainError> {
    let mut explanation = Explanation::default();
    let mut read = 0;
    for path in logs {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| ExplainError::File(path.clone(), error))?;
        read += take_log(id, path, &text, &mut explanation)?;
    }
    if explanation.events.is_empty() {
        return Err(ExplainError::Unknown(id.to_owned(), read));
    }
    // Events of one VM in one millisecond stay in the order of its log.
    explanation.events.sort_by_key(|seen| seen.time_ms);
    Ok(explanation)
}

/// Takes one log in; gives the number of its events.
fn take_log(
    id: &str,
    path: &Path,
    text: &str,
    explanation: &mut Explanation,
) -> Result<usize, ExplainError> {
    let mut events = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        let Some(seen) = read_event(line) else {
            explanation.unreadable += 1;
            continue;
        };
        events += 1;
        if names(&seen.text, id) {
            explanation.events.push(seen);
        }
    }
    if events == 0 {
        return Err(ExplainError::Damaged(path.to_owned()));
    }
    Ok(events)
}

/// Whatever stands before the time, as a log collector adds it, is left out.
fn read_event(line: &str) -> Option<Seen> {
    let (_, event) = line.split_once(TIME)?;
    let (time_ms, text) = event.split_once(' ')?;
    Some(Seen {
        time_ms: time_ms.parse().ok()?,
        text: text.to_owned(),
    })
}

/// The id stands in the text as a whole word.
fn names(text: &str, id: &str) -> bool {
    let is_part = |letter: char| letter.is_alphanumeric() || letter == '-' || letter == '_';
    text.split(|letter: char| !is_part(letter))
        .any(|word| word == id)
}
