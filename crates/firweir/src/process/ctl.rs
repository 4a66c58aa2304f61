//! The operator's commands: check, diff, apply, status.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use quick_error::quick_error;

use crate::connection::client::within;
use crate::connection::object::Condition;
use crate::connection::object::ObjectApi;
use crate::connection::object::ObjectError;
use crate::connection::object::Versioned;
use crate::connection::peer::Peers;
use crate::process::run::Parts;
use crate::process::steward::CONFIG_KEY;
use crate::version::folder::Change;
use crate::version::folder::File;
use crate::version::folder::FolderError;
use crate::version::folder::Head;
use crate::version::folder::changed_files;
use crate::version::folder::read_folder;
use crate::version::view::Member;
use crate::version::view::MemberState;
use crate::version::view::WireError;
use crate::version::view::read_members;
use crate::wire::firweir_capnp::steward;

/// Tries of an apply that loses races to operators who change other files.
const APPLY_TRIES: u32 = 32;

/// Time between looks at the fleet while a change spreads.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// A steward that does not answer by then counts as missing.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

quick_error! {
    /// Why a command failed.
    #[derive(Debug)]
    pub enum CtlError {
        /// The folder cannot be applied.
        Folder(err: FolderError) {
            display("{err}")
            source(err)
            from()
        }
        /// The object API did not do it.
        Object(err: ObjectError) {
            display("{err}")
            source(err)
            from()
        }
        /// Another operator changed the same files.
        Raced(revision: u64, files: Vec<String>) {
            display("revision {revision} changed the same files: {}", files.join(", "))
        }
        /// The change was accepted and is not yet confirmed everywhere.
        Unconfirmed(revision: u64, nodes: Vec<String>) {
            display("revision {revision} accepted; not confirmed by: {}", nodes.join(", "))
        }
        /// Other operators won every race.
        Contended {
            display("gave up after {APPLY_TRIES} races")
        }
        /// No steward answers.
        NoSteward {
            display("no steward answers")
        }
        /// A metrics port could not be had.
        Io(err: std::io::Error) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// What a folder would change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Revision that is in the object API.
    pub revision: u64,
    /// Names of files that differ.
    pub files: Vec<String>,
}

/// One operator's session with the fleet.
#[derive(Debug)]
pub struct Operator {
    api: ObjectApi,
    peers: Peers<steward::Client>,
}

/// Checks a folder without the fleet.
///
/// # Errors
///
/// Names each file and key that is wrong.
pub fn check(folder: &Path) -> Result<Vec<File>, CtlError> {
    let files = read_folder(folder)?;
    let head = Head {
        files: files.clone(),
        ..Head::default()
    };
    head.check()?;
    Ok(files)
}

impl Operator {
    /// A session over these parts.
    #[must_use]
    pub fn new(parts: &Parts) -> Self {
        let peers = Peers::new(parts);
        Self {
            api: parts.object_api("ctl"),
            peers,
        }
    }

    /// What the folder would change.
    ///
    /// # Errors
    ///
    /// The folder is wrong, or the object API does not answer.
    pub async fn diff(&self, folder: &Path) -> Result<Difference, CtlError> {
        let files = check(folder)?;
        let head = self
            .head()
            .await?
            .map(|head| head.value)
            .unwrap_or_default();
        Ok(Difference {
            revision: head.revision,
            files: changed_files(&head.files, &files),
        })
    }

    /// Makes the folder the configuration; gives the revision, or `None` if it
    /// is that already.
    ///
    /// An apply that loses a race goes on from the new head if the winner changed
    /// other files, and is refused otherwise.
    ///
    /// # Errors
    ///
    /// The folder is wrong, another operator changed the same files, or the
    /// object API does not answer.
    pub async fn apply(&self, folder: &Path) -> Result<Option<u64>, CtlError> {
        let wanted = check(folder)?;
        self.apply_files(&wanted).await
    }

    /// As [`Operator::apply`], with files that are already read and checked.
    ///
    /// # Errors
    ///
    /// As [`Operator::apply`].
    pub async fn apply_files(&self, wanted: &[File]) -> Result<Option<u64>, CtlError> {
        let mut found = self.head().await?;
        let base = found
            .as_ref()
            .map(|head| head.value.clone())
            .unwrap_or_default();
        let ours = changed_files(&base.files, wanted);
        for _ in 0..APPLY_TRIES {
            let head = found
                .as_ref()
                .map(|head| head.value.clone())
                .unwrap_or_default();
            refuse_overlap(&head, base.revision, &ours)?;
            let target = overlay(&head.files, wanted, &ours);
            let write_id = self.api.write_id();
            let Some(next) = head.with_folder(&target, &write_id) else {
                return Ok(None);
            };
            next.check()?;
            let condition = found
                .as_ref()
                .map_or(Condition::Absent, |head| Condition::At(head.etag.clone()));
            match self.api.write(CONFIG_KEY, &next, &condition).await {
                Ok(_) => return Ok(Some(next.revision)),
                Err(ObjectError::Conflict) => {}
                Err(error) => return Err(error.into()),
            }
            found = self.head().await?;
            let settled = found
                .as_ref()
                .and_then(|head| head.value.revision_of(&write_id));
            if let Some(revision) = settled {
                return Ok(Some(revision));
            }
        }
        Err(CtlError::Contended)
    }

    /// Waits until the revision is in force on every live VM; `progress` hears
    /// of each look.
    ///
    /// # Errors
    ///
    /// Names the VMs that did not confirm within `patience`.
    pub async fn confirm(
        &self,
        revision: u64,
        patience: Duration,
        progress: impl Fn(usize, usize),
    ) -> Result<(), CtlError> {
        let start = tokio::time::Instant::now();
        loop {
            let missing = match self.status().await {
                Ok((_, members)) => {
                    let live = members
                        .iter()
                        .filter(|member| member.state != MemberState::Dead);
                    let total = live.clone().count();
                    let missing: Vec<String> = live
                        .filter(|member| member.revision < revision)
                        .map(|member| member.node.clone())
                        .collect();
                    progress(total - missing.len(), total);
                    missing
                }
                Err(_) => vec!["all".to_owned()],
            };
            if missing.is_empty() {
                return Ok(());
            }
            if start.elapsed() > patience {
                return Err(CtlError::Unconfirmed(revision, missing));
            }
            tokio::time::sleep(LOOK_EVERY).await;
        }
    }

    /// Asks stewards of the VM list until one answers: the revision it holds and
    /// the VMs it knows.
    ///
    /// # Errors
    ///
    /// The VM list cannot be read, or no steward answers.
    pub async fn status(&self) -> Result<(u64, Vec<Member>), CtlError> {
        for vm in self.api.vm_list().await?.entries {
            match within(STATUS_TIMEOUT, self.ask(vm.steward)).await {
                Some(Ok(status)) => return Ok(status),
                Some(Err(_)) | None => self.peers.forget(vm.steward),
            }
        }
        Err(CtlError::NoSteward)
    }

    async fn ask(&self, steward: SocketAddr) -> Result<(u64, Vec<Member>), WireError> {
        let client = self.peers.get(steward).await?;
        let response = client.status_request().send().promise.await?;
        let results = response.get()?;
        Ok((
            results.get_revision(),
            read_members(results.get_members()?)?,
        ))
    }

    async fn head(&self) -> Result<Option<Versioned<Head>>, ObjectError> {
        self.api.read(CONFIG_KEY).await
    }
}

/// The first of two changes to the same file wins; the second is told so.
fn refuse_overlap(head: &Head, base: u64, ours: &[String]) -> Result<(), CtlError> {
    let newer = head.log.iter().filter(|change| change.revision > base);
    for Change {
        revision, files, ..
    } in newer
    {
        let both: Vec<String> = files
            .iter()
            .filter(|name| ours.contains(name))
            .cloned()
            .collect();
        if !both.is_empty() {
            return Err(CtlError::Raced(*revision, both));
        }
    }
    Ok(())
}

/// The head's files with ours put over them.
fn overlay(held: &[File], wanted: &[File], ours: &[String]) -> Vec<File> {
    let mut files: Vec<File> = held
        .iter()
        .filter(|file| !ours.contains(&file.name))
        .cloned()
        .collect();
    files.extend(
        wanted
            .iter()
            .filter(|file| ours.contains(&file.name))
            .cloned(),
    );
    files.sort_by(|left, right| left.name.cmp(&right.name));
    files
}
