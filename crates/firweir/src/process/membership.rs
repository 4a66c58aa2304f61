//! What one steward believes of the system's VMs.
//!
//! Observed state: it merges by maximum of (incarnation, counter), needs no
//! agreement and may be lost at any time.

use std::time::Duration;
use std::time::Instant;

use crate::version::view::Member;
use crate::version::view::MemberState;

/// A VM not heard of for this long is suspect: several exchange rounds, so that
/// one lost message or a short pause is not taken for a death.
const SUSPECT_AFTER: Duration = Duration::from_secs(3);

/// A VM not heard of for this long is dead and gets nothing more.
const DEAD_AFTER: Duration = Duration::from_secs(6);

/// A dead VM is remembered this long, so that an old message does not bring it back.
const FORGET_AFTER: Duration = Duration::from_secs(600);

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    heard: Instant,
}

/// The members, sorted by name.
#[derive(Debug, Clone)]
pub struct Membership {
    own: String,
    entries: Vec<Entry>,
}

impl Membership {
    /// A table that knows only this VM.
    #[must_use]
    pub fn new(own: Member, now: Instant) -> Self {
        Self {
            own: own.node.clone(),
            entries: vec![Entry {
                member: own,
                heard: now,
            }],
        }
    }

    /// This VM's own row, to be changed before the next exchange.
    pub fn own_mut(&mut self) -> Option<&mut Member> {
        let position = self.position(&self.own).ok()?;
        Some(&mut self.entries[position].member)
    }

    /// Takes in what a peer believes. Gives whether anything new was learnt.
    pub fn merge(&mut self, theirs: Vec<Member>, now: Instant) -> bool {
        let mut learnt = false;
        for member in theirs {
            if member.node == self.own {
                continue;
            }
            match self.position(&member.node) {
                Err(position) => {
                    self.entries.insert(position, Entry { member, heard: now });
                    learnt = true;
                }
                Ok(position) => learnt |= self.entries[position].take_in(member, now),
            }
        }
        learnt
    }

    /// Grows this VM's counter and marks VMs that were not heard of. Gives
    /// whether the state of any VM changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        let mut changed = false;
        for entry in &mut self.entries {
            if entry.member.node == self.own {
                entry.member.counter += 1;
                entry.heard = now;
                continue;
            }
            changed |= entry.age(now);
        }
        let before = self.entries.len();
        self.entries
            .retain(|entry| now.duration_since(entry.heard) < FORGET_AFTER);
        changed || self.entries.len() != before
    }

    /// The members, sorted by name.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.entries
            .iter()
            .map(|entry| entry.member.clone())
            .collect()
    }

    /// Members in this state.
    #[must_use]
    pub fn count(&self, state: MemberState) -> usize {
        let entries = self.entries.iter();
        entries.filter(|entry| entry.member.state == state).count()
    }

    /// What is believed of a member.
    #[must_use]
    pub fn state_of(&self, node: &str) -> Option<MemberState> {
        let position = self.position(node).ok()?;
        Some(self.entries[position].member.state)
    }

    /// Other members that are worth an exchange.
    #[must_use]
    pub fn peers(&self) -> Vec<&Member> {
        self.entries
            .iter()
            .map(|entry| &entry.member)
            .filter(|member| member.node != self.own && member.state != MemberState::Dead)
            .collect()
    }

    fn position(&self, node: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.member.node.as_str().cmp(node))
    }
}

impl Entry {
    fn take_in(&mut self, theirs: Member, now: Instant) -> bool {
        let newer =
            (theirs.incarnation, theirs.counter) > (self.member.incarnation, self.member.counter);
        if !newer {
            return false;
        }
        let left = self.member.state == MemberState::Leaving
            && self.member.incarnation == theirs.incarnation;
        let told = if left {
            MemberState::Leaving
        } else {
            theirs.state
        };
        let state = if told == MemberState::Leaving {
            told
        } else {
            MemberState::Alive
        };
        let changed = state != self.member.state
            || theirs.incarnation != self.member.incarnation
            || theirs.revision != self.member.revision;
        self.member = Member { state, ..theirs };
        self.heard = now;
        changed
    }

    fn age(&mut self, now: Instant) -> bool {
        let silent = now.duration_since(self.heard);
        let state = match self.member.state {
            _ if silent >= DEAD_AFTER => MemberState::Dead,
            MemberState::Alive if silent >= SUSPECT_AFTER => MemberState::Suspect,
            state => state,
        };
        let changed = state != self.member.state;
        self.member.state = state;
        changed
    }
}
