//! Searches every order in which two holders, the object API, the vaults and a
//! trainer can act on one feed's record, with crashes, pauses and lost replies at
//! each point.
//!
//! A lease is never trusted here: either holder may take the feed at any moment,
//! while the other goes on as if it still held it. That is what a pause does.

use std::collections::BTreeSet;
use std::collections::HashSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use firweir::request::record::Acceptance;
use firweir::request::record::FeedRecord;
use firweir::request::record::LotRecord;
use xxhash_rust::xxh3::Xxh3;

/// Which guards stand; a search without one of them has to find the fault.
#[derive(Debug, Clone, Copy)]
struct Guards {
    /// The object API writes only at the version that the writer saw.
    condition: bool,
    /// The trainer trains on the step after its last and on no other.
    next_step_only: bool,
    /// A resent write names the write that it repeats.
    read_back: bool,
}

const ALL: Guards = Guards {
    condition: true,
    next_step_only: true,
    read_back: true,
};

/// How much may go wrong in one run of events; the rest of the space is bounded by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Budget {
    writes: u8,
    timeouts: u8,
    crashes: u8,
    trainer_restarts: u8,
    vault_losses: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Purpose {
    Take,
    Seal,
    Void,
    Accept,
    Release,
    Publish,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    purpose: Purpose,
    at: u8,
    value: FeedRecord,
}

/// A write on its way, as its sender sees it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Sent {
    /// It has not reached the object API.
    OnTheWay(Write),
    /// It was judged; the reply is on its way back.
    Judged(Write, bool),
    /// The sender gave up waiting and does not know.
    Unsettled(Write),
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Node {
    starts: u8,
    /// What it believes to hold: a version and the record at that version.
    held: Option<(u8, FeedRecord)>,
    sent: Option<Sent>,
    bodies: BTreeSet<String>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
struct Trainer {
    /// Kept over a restart.
    trained: Vec<String>,
    version: u64,
    /// Lost with a restart.
    taken: Option<LotRecord>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    version: u8,
    record: FeedRecord,
    /// Digest accepted at each step, in the order of their writes.
    accepted: Vec<(u64, String)>,
    /// Writes whose sender has given up and which may land yet.
    late: Vec<Write>,
    nodes: [Node; 2],
    vaults: BTreeSet<String>,
    trainer: Trainer,
    left: Budget,
    /// Set by an event that must not be.
    fault: Option<&'static str>,
}

const BOUND_VERSIONS: u64 = 1;
const STEPS: u64 = 2;
const NAMES: [&str; 2] = ["vm-0", "vm-1"];

fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1))
}

fn start(left: Budget) -> World {
    World {
        version: 0,
        record: FeedRecord::default(),
        accepted: Vec::new(),
        late: Vec::new(),
        nodes: [Node::default(), Node::default()],
        vaults: BTreeSet::new(),
        trainer: Trainer {
            version: 1,
            ..Trainer::default()
        },
        left,
        fault: None,
    }
}

impl World {
    /// Every world that one event can lead to.
    fn successors(&self, guards: Guards) -> Vec<Self> {
        let mut next = Vec::new();
        for node in 0..2 {
            self.holder_events(node, &mut next);
            self.write_events(node, guards, &mut next);
            self.trainer_events(node, guards, &mut next);
        }
        for index in 0..self.late.len() {
            let mut world = self.clone();
            let write = world.late.remove(index);
            world.land(&write, guards);
            next.push(world);
        }
        if self.left.trainer_restarts > 0 {
            let mut world = self.clone();
            world.left.trainer_restarts -= 1;
            world.trainer.taken = None;
            next.push(world);
        }
        if self.left.vault_losses > 0 && !self.vaults.is_empty() {
            let mut world = self.clone();
            world.left.vault_losses -= 1;
            world.vaults.clear();
            next.push(world);
        }
        next
    }

    fn holder_events(&self, node: usize, next: &mut Vec<Self>) {
        let state = &self.nodes[node];
        if self.left.crashes > 0 && (state.held.is_some() || state.sent.is_some()) {
            next.push(self.after_crash(node));
        }
        if state.sent.is_some() || self.left.writes == 0 {
            return;
        }
        let Some((at, record)) = &state.held else {
            let taken = self.record.taken_by(NAMES[node], address());
            next.push(self.after_send(node, Purpose::Take, self.version, taken));
            return;
        };
        let send = |purpose, value| self.after_send(node, purpose, *at, value);
        let missing = record
            .sealed
            .iter()
            .find(|lot| !state.bodies.contains(&lot.digest));
        match missing {
            Some(lot) if self.vaults.contains(&lot.digest) => {
                let mut world = self.clone();
                world.nodes[node].bodies.insert(lot.digest.clone());
                next.push(world);
            }
            Some(lot) => next.push(send(Purpose::Void, record.with_voided(lot.step))),
            None if record.next_step() < STEPS && record.sealed.is_empty() => {
                let lot = drafted(record);
                let sealed = record.with_sealed(lot.clone()).expect("the next step");
                let mut world = send(Purpose::Seal, sealed);
                world.nodes[node].bodies.insert(lot.digest.clone());
                world.vaults.insert(lot.digest);
                next.push(world);
            }
            None => {}
        }
        if self.trainer.version > record.weight_version {
            let published = record.with_weights(self.trainer.version);
            next.extend(published.map(|value| send(Purpose::Publish, value)));
        }
        next.push(send(Purpose::Release, record.released()));
    }

    fn after_send(&self, node: usize, purpose: Purpose, at: u8, mut value: FeedRecord) -> Self {
        let mut world = self.clone();
        value.write_id = format!("{node}.{}.{at}", self.nodes[node].starts);
        world.left.writes -= 1;
        world.nodes[node].sent = Some(Sent::OnTheWay(Write { purpose, at, value }));
        world
    }

    fn after_crash(&self, node: usize) -> Self {
        let mut world = self.clone();
        world.left.crashes -= 1;
        let starts = self.nodes[node].starts + 1;
        let dead = std::mem::replace(
            &mut world.nodes[node],
            Node {
                starts,
                ..Node::default()
            },
        );
        if let Some(Sent::OnTheWay(write)) = dead.sent {
            world.late.push(write);
        }
        world
    }

    fn write_events(&self, node: usize, guards: Guards, next: &mut Vec<Self>) {
        let Some(sent) = self.nodes[node].sent.clone() else {
            return;
        };
        let mut world = self.clone();
        match sent {
            Sent::OnTheWay(write) => {
                let took_effect = world.land(&write, guards);
                world.nodes[node].sent = Some(Sent::Judged(write.clone(), took_effect));
                next.push(world);
                if self.left.timeouts > 0 {
                    let mut world = self.clone();
                    world.left.timeouts -= 1;
                    world.late.push(write.clone());
                    world.nodes[node].sent = Some(Sent::Unsettled(write));
                    next.push(world);
                }
            }
            Sent::Judged(write, took_effect) => {
                world.end_write(node, &write, took_effect);
                if took_effect && write.purpose == Purpose::Accept {
                    world.tell_trainer(&write, next);
                } else {
                    next.push(world);
                }
                if self.left.timeouts > 0 {
                    let mut world = self.clone();
                    world.left.timeouts -= 1;
                    world.nodes[node].sent = Some(Sent::Unsettled(write));
                    next.push(world);
                }
            }
            Sent::Unsettled(write) => {
                if guards.read_back && self.record.write_id == write.value.write_id {
                    world.end_write(node, &write, true);
                } else if self.version == write.at {
                    world.nodes[node].sent = Some(Sent::OnTheWay(write));
                } else {
                    // Without the read-back its sender takes it for done.
                    world.end_write(node, &write, !guards.read_back);
                }
                next.push(world);
            }
        }
    }

    /// The object API judges a write.
    fn land(&mut self, write: &Write, guards: Guards) -> bool {
        if guards.condition && write.at != self.version {
            return false;
        }
        let before = std::mem::replace(&mut self.record, write.value.clone());
        self.version += 1;
        if write.purpose == Purpose::Take && self.record.sealed != before.sealed {
            self.fault = Some("a new holder dropped a sealed lot");
        }
        match &self.record.accepted {
            Some(lot) if self.record.accepted != before.accepted => {
                self.accepted.push((lot.step, lot.digest.clone()));
            }
            None if before.accepted.is_some() => {
                self.fault = Some("an acceptance was undone");
            }
            Some(_) | None => {}
        }
        true
    }

    fn end_write(&mut self, node: usize, write: &Write, took_effect: bool) {
        let state = &mut self.nodes[node];
        state.sent = None;
        if !took_effect || write.purpose == Purpose::Release {
            state.held = None;
            state.bodies.clear();
            return;
        }
        // The version that its own write made: the one after the condition's.
        state.held = Some((write.at + 1, write.value.clone()));
    }

    /// The trainer hears that its lot is accepted, or the answer is lost.
    fn tell_trainer(mut self, write: &Write, next: &mut Vec<Self>) {
        if self.left.timeouts > 0 {
            let mut world = self.clone();
            world.left.timeouts -= 1;
            next.push(world);
        }
        let accepted = write.value.accepted.as_ref();
        let awaited = self.trainer.taken.as_ref();
        if awaited.is_some() && awaited.map(|lot| &lot.digest) == accepted.map(|lot| &lot.digest) {
            self.train();
        }
        next.push(self);
    }

    /// The trainer trains on what it has taken, and keeps its step with its model.
    fn train(&mut self) {
        if let Some(lot) = self.trainer.taken.take() {
            self.trainer.trained.push(lot.digest);
            self.trainer.version += 1;
        }
    }

    fn wants(&self, lot: &LotRecord, guards: Guards) -> bool {
        !guards.next_step_only || lot.step == self.trainer.trained.len() as u64
    }

    fn trainer_events(&self, node: usize, guards: Guards, next: &mut Vec<Self>) {
        let state = &self.nodes[node];
        let Some((at, record)) = &state.held else {
            return;
        };
        let Some(taken) = &self.trainer.taken else {
            let offered = record.sealed.first();
            let offered = offered.filter(|lot| state.bodies.contains(&lot.digest));
            if let Some(lot) = offered.filter(|lot| self.wants(lot, guards)) {
                let mut world = self.clone();
                world.trainer.taken = Some(lot.clone());
                next.push(world);
            }
            let again = record.accepted.as_ref();
            if let Some(lot) = again.filter(|lot| guards.next_step_only && self.wants(lot, guards))
            {
                let mut world = self.clone();
                world.trainer.taken = Some(lot.clone());
                world.train();
                next.push(world);
            }
            return;
        };
        if state.sent.is_some() {
            return;
        }
        let acceptance = Acceptance {
            step: taken.step,
            generation: taken.generation,
            digest: taken.digest.clone(),
            trainer_version: self.trainer.version,
        };
        match record.with_accepted(&acceptance, BOUND_VERSIONS) {
            Ok(None) => {
                let mut world = self.clone();
                world.train();
                next.push(world);
            }
            Ok(Some(value)) if self.left.writes > 0 => {
                next.push(self.after_send(node, Purpose::Accept, *at, value));
            }
            Ok(Some(_)) => {}
            Err(_) => {
                let mut world = self.clone();
                world.trainer.taken = None;
                next.push(world);
            }
        }
    }

    /// What is wrong with this world, if anything.
    fn fault(&self) -> Option<&'static str> {
        for (index, digest) in self.trainer.trained.iter().enumerate() {
            if self.trainer.trained[..index].contains(digest) {
                return Some("a lot was trained on twice");
            }
            if !digest.starts_with(&format!("step {index} ")) {
                return Some("a step was skipped or repeated");
            }
        }
        for (index, (step, _)) in self.accepted.iter().enumerate() {
            if *step != index as u64 {
                return Some("accepted steps are not 0, 1, 2 and so on, each once");
            }
        }
        let trained = self.trainer.trained.iter();
        let of_record = self.accepted.iter().map(|(_, digest)| digest);
        if trained
            .zip(of_record)
            .any(|(trained, kept)| trained != kept)
        {
            return Some("what was trained on is not what was accepted");
        }
        if self.trainer.trained.len() > self.accepted.len() {
            return Some("a lot was trained on that was not accepted");
        }
        self.fault
    }

    /// Names the world among all others. Two of a million worlds share a name
    /// once in tens of millions of searches, and then one is not looked into.
    fn name(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.hash(&mut hasher);
        hasher.finish()
    }
}

/// A drafted lot, named by all that could tell it from another.
fn drafted(record: &FeedRecord) -> LotRecord {
    let (step, generation) = (record.next_step(), record.next_generation);
    LotRecord {
        step,
        generation,
        digest: format!("step {step} generation {generation} epoch {}", record.epoch),
        samples: 1,
        oldest_version: record.weight_version,
        newest_version: record.weight_version,
        vaults: Vec::new(),
    }
}

/// Searches all worlds; gives how many there are, or the first fault.
fn search(guards: Guards, left: Budget) -> Result<usize, &'static str> {
    let mut seen = HashSet::new();
    let first = start(left);
    seen.insert(first.name());
    let mut open = vec![first];
    while let Some(world) = open.pop() {
        for next in world.successors(guards) {
            if let Some(fault) = next.fault() {
                return Err(fault);
            }
            if seen.insert(next.name()) {
                open.push(next);
            }
        }
    }
    Ok(seen.len())
}

struct SearchCase {
    name: &'static str,
    left: Budget,
}

const NOTHING: Budget = Budget {
    writes: 6,
    timeouts: 0,
    crashes: 0,
    trainer_restarts: 0,
    vault_losses: 0,
};

/// Guards against a step that is trained on twice, or never, in any order of two holders' acts.
#[test]
fn no_order_of_events_doubles_or_loses_a_step() {
    let cases = [
        SearchCase {
            name: "two holders",
            left: NOTHING,
        },
        SearchCase {
            name: "lost replies and writes that land late",
            left: Budget {
                timeouts: 1,
                writes: 5,
                ..NOTHING
            },
        },
        SearchCase {
            name: "a holder crashes and the trainer restarts",
            left: Budget {
                crashes: 1,
                trainer_restarts: 1,
                ..NOTHING
            },
        },
        SearchCase {
            name: "a lost reply, a crash and a lost vault",
            left: Budget {
                timeouts: 1,
                crashes: 1,
                vault_losses: 1,
                writes: 5,
                ..NOTHING
            },
        },
    ];
    for case in cases {
        let found = search(ALL, case.left);
        println!("{}: {found:?}", case.name);
        assert!(
            found.is_ok_and(|worlds| worlds > 100),
            "{}: {found:?}",
            case.name
        );
    }
}

struct GuardCase {
    name: &'static str,
    without: Guards,
}

/// The search is worth something only if it finds the fault once a guard is gone.
#[test]
fn the_search_finds_the_fault_of_each_missing_guard() {
    let cases = [
        GuardCase {
            name: "writes without a condition",
            without: Guards {
                condition: false,
                ..ALL
            },
        },
        GuardCase {
            name: "a trainer that trains on whatever it gets",
            without: Guards {
                next_step_only: false,
                ..ALL
            },
        },
        GuardCase {
            name: "a lost reply taken for success",
            without: Guards {
                read_back: false,
                ..ALL
            },
        },
    ];
    let left = Budget {
        timeouts: 1,
        trainer_restarts: 1,
        ..NOTHING
    };
    for case in cases {
        let found = search(case.without, left);
        println!("{}: {found:?}", case.name);
        assert!(found.is_err(), "{}: {found:?}", case.name);
    }
}
