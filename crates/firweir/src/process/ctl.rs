//! The operator's commands: check, diff, apply, status.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use futures_util::StreamExt;
use http::StatusCode;
use quick_error::quick_error;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::connection::client::ClientError;
use crate::connection::client::within;
use crate::connection::object::Condition;
use crate::connection::object::EntryVm;
use crate::connection::object::ObjectApi;
use crate::connection::object::ObjectError;
use crate::connection::object::Versioned;
use crate::connection::peer::Peers;
use crate::process::explain::ExplainError;
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

/// An operator who lost a race waits a random time up to this, doubled with each
/// loss: one write of the platform takes some 10 ms with its read.
const BACKOFF: Duration = Duration::from_millis(20);

/// The pause after a lost race grows no longer than this.
const LONGEST_BACKOFF: Duration = Duration::from_millis(640);

/// Time between looks at the fleet while a change spreads.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// A steward that does not answer by then counts as missing.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// VMs that are asked at the same time.
const ASKED_AT_ONCE: usize = 64;

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
        /// Logs say nothing of an id.
        Explain(err: ExplainError) {
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
        /// Another operator changed the folder, and the whole folder was the condition.
        FolderRaced(revision: u64) {
            display("revision {revision} changed the folder")
        }
        /// So many changes were accepted meanwhile that the log no longer tells
        /// whether this one is among them or clashes with them.
        LogPassed(base: u64, revision: u64) {
            display(
                "revisions {base} to {revision} are no longer all in the log: \
                 run diff, which shows whether the change was accepted, and apply again"
            )
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

/// On what condition a change is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Certification {
    /// Nobody changed the same files since the base. What `apply` uses.
    PerFile,
    /// Nobody changed anything since the base. For comparison.
    WholeFolder,
}

/// How an apply ended, and what it took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Applied {
    /// The revision, or `None` if the folder is in force already.
    pub revision: Option<u64>,
    /// Conditional writes that were tried.
    pub tries: u32,
}

/// One VM as `status` shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmStatus {
    /// Its name.
    pub node: String,
    /// Its zone, if a steward knows it.
    pub zone: String,
    /// Where its steward takes peers.
    pub steward: SocketAddr,
    /// What the asked steward believes of it.
    pub state: Option<MemberState>,
    /// The VM list shows it.
    pub listed: bool,
    /// Revision with which all its programs work, as it says itself; `None` if
    /// it did not answer.
    pub in_force: Option<u64>,
}

impl VmStatus {
    /// A revision is in force everywhere only when this VM has it. A VM that the
    /// platform lists counts even if stewards hold it for dead: it may be cut off
    /// and still answer callers. One that is not listed counts while it is held
    /// for alive or suspect, because the list lags.
    #[must_use]
    pub fn counts(&self) -> bool {
        let held = matches!(self.state, Some(MemberState::Alive | MemberState::Suspect));
        let leaving = self.state == Some(MemberState::Leaving) && self.in_force.is_none();
        !leaving && (self.listed || held)
    }
}

/// The fleet as `status` shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetStatus {
    /// Revision that the asked steward holds.
    pub revision: u64,
    /// All VMs, sorted by name.
    pub vms: Vec<VmStatus>,
}

/// One operator's session with the fleet.
#[derive(Debug)]
pub struct Operator {
    api: ObjectApi,
    peers: Peers<steward::Client>,
    random: RefCell<Pcg64Mcg>,
    /// The VM list as it was last read.
    listed: RefCell<Vec<EntryVm>>,
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
            random: RefCell::new(parts.random(3)),
            listed: RefCell::default(),
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
        let applied = self.apply_certified(wanted, Certification::PerFile).await?;
        Ok(applied.revision)
    }

    /// As [`Operator::apply_files`], on a condition of choice.
    ///
    /// # Errors
    ///
    /// As [`Operator::apply`].
    pub async fn apply_certified(
        &self,
        wanted: &[File],
        certification: Certification,
    ) -> Result<Applied, CtlError> {
        let mut found = self.head().await?;
        let base = value_of(found.as_ref());
        let ours = changed_files(&base.files, wanted);
        for tries in 0..APPLY_TRIES {
            let head = value_of(found.as_ref());
            certify(&head, &base, &ours, certification)?;
            let target = overlay(&head.files, wanted, &ours);
            let write_id = self.api.write_id();
            let Some(next) = head.with_folder(&target, &write_id) else {
                let revision = None;
                return Ok(Applied { revision, tries });
            };
            next.check()?;
            let applied = Applied {
                revision: Some(next.revision),
                tries: tries + 1,
            };
            let condition = found
                .as_ref()
                .map_or(Condition::Absent, |head| Condition::At(head.etag.clone()));
            match self.api.write(CONFIG_KEY, &next, &condition).await {
                Ok(_) => return Ok(applied),
                Err(ObjectError::Conflict) => {}
                Err(error) if is_rate_limit(&error) => {}
                Err(error) => return Err(error.into()),
            }
            self.back_off(tries).await;
            found = self.head().await?;
            let newest = value_of(found.as_ref());
            if let Some(revision) = newest.revision_of(&write_id) {
                let revision = Some(revision);
                return Ok(Applied {
                    revision,
                    ..applied
                });
            }
            // The write may be among changes that the log has dropped: going on
            // could refuse an accepted change, or accept it twice.
            if !newest.log_reaches(head.revision) {
                return Err(CtlError::LogPassed(head.revision, newest.revision));
            }
        }
        Err(CtlError::Contended)
    }

    /// Lets operators who lost the same race come back one after the other.
    async fn back_off(&self, tries: u32) {
        let longest = LONGEST_BACKOFF.min(BACKOFF * (1 << tries.min(16)));
        let share = self.random.borrow_mut().random_range(0.0..1.0);
        tokio::time::sleep(longest.mul_f64(share)).await;
    }

    /// Waits until the revision is in force on every VM that counts as live;
    /// `progress` hears of each look.
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
                Ok(status) => {
                    let counted = status.vms.iter().filter(|vm| vm.counts());
                    let total = counted.clone().count();
                    let missing: Vec<String> = counted
                        .filter(|vm| vm.in_force.is_none_or(|held| held < revision))
                        .map(|vm| vm.node.clone())
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

    /// The VMs of the VM list and those that a steward knows, each asked itself
    /// for what is in force on it.
    ///
    /// # Errors
    ///
    /// The VM list could never be read, or no steward answers.
    pub async fn status(&self) -> Result<FleetStatus, CtlError> {
        let listed = self.vm_list().await?;
        let (revision, members) = self.any_members(&listed).await?;
        let mut vms = rows_of(&listed, members);
        let asking = futures_util::stream::iter(vms.clone().into_iter().map(|vm| async move {
            match within(STATUS_TIMEOUT, self.in_force(vm.steward)).await {
                Some(Ok((revision, node))) if node == vm.node => Some(revision),
                Some(_) | None => {
                    self.peers.forget(vm.steward);
                    None
                }
            }
        }));
        let answers: Vec<Option<u64>> = asking.buffered(ASKED_AT_ONCE).collect().await;
        for (vm, in_force) in vms.iter_mut().zip(answers) {
            vm.in_force = in_force;
        }
        Ok(FleetStatus { revision, vms })
    }

    /// The VM list, or the last one while the object API does not answer.
    async fn vm_list(&self) -> Result<Vec<EntryVm>, CtlError> {
        match self.api.vm_list().await {
            Ok(vms) => {
                self.listed.borrow_mut().clone_from(&vms.entries);
                Ok(vms.entries)
            }
            Err(error) => {
                let listed = self.listed.borrow().clone();
                if listed.is_empty() {
                    return Err(error.into());
                }
                Ok(listed)
            }
        }
    }

    async fn any_members(&self, listed: &[EntryVm]) -> Result<(u64, Vec<Member>), CtlError> {
        for vm in listed {
            match within(STATUS_TIMEOUT, self.ask(vm.steward)).await {
                Some(Ok(status)) => return Ok(status),
                Some(Err(_)) | None => self.peers.forget(vm.steward),
            }
        }
        Err(CtlError::NoSteward)
    }

    async fn in_force(&self, steward: SocketAddr) -> Result<(u64, String), WireError> {
        let client = self.peers.get(steward).await?;
        let response = client.in_force_request().send().promise.await?;
        let results = response.get()?;
        let node = results.get_node()?.to_str()?.to_owned();
        Ok((results.get_revision(), node))
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

/// The platform refused the call because of its rate; nothing was written.
const fn is_rate_limit(error: &ObjectError) -> bool {
    matches!(
        error,
        ObjectError::Unavailable(ClientError::Status(StatusCode::TOO_MANY_REQUESTS))
    )
}

fn value_of(found: Option<&Versioned<Head>>) -> Head {
    found.map(|head| head.value.clone()).unwrap_or_default()
}

fn rows_of(listed: &[EntryVm], members: Vec<Member>) -> Vec<VmStatus> {
    let mut vms: Vec<VmStatus> = members
        .into_iter()
        .map(|member| VmStatus {
            listed: listed.iter().any(|vm| vm.node == member.node),
            node: member.node,
            zone: member.zone,
            steward: member.steward_address,
            state: Some(member.state),
            in_force: None,
        })
        .collect();
    for vm in listed {
        if !vms.iter().any(|known| known.node == vm.node) {
            vms.push(VmStatus {
                node: vm.node.clone(),
                zone: String::new(),
                steward: vm.steward,
                state: None,
                listed: true,
                in_force: None,
            });
        }
    }
    vms.sort_by(|left, right| left.node.cmp(&right.node));
    vms
}

/// The first of two changes to the same file wins; the second is told so.
fn certify(
    head: &Head,
    base: &Head,
    ours: &[String],
    certification: Certification,
) -> Result<(), CtlError> {
    if certification == Certification::WholeFolder && head.revision > base.revision {
        return Err(CtlError::FolderRaced(head.revision));
    }
    if !head.log_reaches(base.revision) {
        return Err(CtlError::LogPassed(base.revision, head.revision));
    }
    let newer = head
        .log
        .iter()
        .filter(|change| change.revision > base.revision);
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
