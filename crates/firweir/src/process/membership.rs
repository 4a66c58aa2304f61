//! What one steward believes of the system's VMs.
//!
//! Observed state: of two rows of a VM the larger (incarnation, state) wins, so a
//! VM that is dead at an incarnation stays dead at it. Only the VM itself raises
//! its incarnation: at each start, and to refute what is wrongly said of it.

use std::cmp::Ordering;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::process::spread::Row;
use crate::process::spread::Table;
use crate::process::spread::sends_among;
use crate::version::view::Member;
use crate::version::view::MemberState;

/// A suspect that has not refuted by then is dead. A VM that was paused for 2 s
/// has to learn of the suspicion and its answer has to cross the fleet first.
const SUSPICION: Duration = Duration::from_secs(3);

/// A dead VM is remembered this long, so that an old message does not bring it back.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Steps between two looks at the table further apart than this mean that this
/// VM itself stood still.
const OWN_PAUSE: Duration = Duration::from_secs(1);

/// One member as it is held here.
#[derive(Debug, Clone)]
struct Seen {
    member: Member,
    /// When this steward learnt the present state.
    since: Instant,
}

impl Row for Seen {
    fn compare(&self, other: &Self) -> Ordering {
        self.member.node.cmp(&other.member.node)
    }

    fn supersedes(&self, held: &Self) -> bool {
        supersedes(&self.member, &held.member)
    }
}

/// The first row is newer news of its VM than the second. Whatever else differs
/// comes last in the order, so that every two rows have one winner.
fn supersedes(news: &Member, held: &Member) -> bool {
    let order = |member: &Member| {
        (
            member.incarnation,
            member.state,
            member.zone.clone(),
            member.steward_address,
            member.draft_address,
            member.feed_address,
        )
    };
    order(news) > order(held)
}

/// The members, sorted by name.
#[derive(Debug, Clone)]
pub struct Membership {
    own: String,
    table: Table<Seen>,
    ticked: Instant,
    digest: Option<u64>,
}

impl Membership {
    /// A table that knows only this VM.
    #[must_use]
    pub fn new(own: Member, now: Instant) -> Self {
        let mut membership = Self {
            own: own.node.clone(),
            table: Table::default(),
            ticked: now,
            digest: None,
        };
        membership.set(own, now);
        membership
    }

    /// Takes in what a peer believes. Gives whether anything new was learnt.
    ///
    /// A peer that holds this VM for suspect or dead, or knows it from before a
    /// restart at which its clock stood lower, is answered with an incarnation
    /// above the one it holds.
    pub fn merge(&mut self, theirs: Vec<Member>, now: Instant) -> bool {
        let mut learnt = false;
        for member in theirs {
            if member.node == self.own {
                learnt |= self.refute(&member, now);
            } else {
                learnt |= self.set(member, now);
            }
        }
        learnt
    }

    /// This VM says that it leaves. Gives whether that is new.
    pub fn leave(&mut self, now: Instant) -> bool {
        match self.find(&self.own) {
            Some(own) if own.state != MemberState::Leaving => {
                let state = MemberState::Leaving;
                let own = Member {
                    state,
                    ..own.clone()
                };
                self.set(own, now)
            }
            _ => false,
        }
    }

    /// A VM was reached neither directly nor through others: suspect, or dead if
    /// it had said that it leaves. Gives whether that is new.
    pub fn unreached(&mut self, node: &str, now: Instant) -> bool {
        let Some(held) = self.find(node) else {
            return false;
        };
        let state = match held.state {
            MemberState::Alive => MemberState::Suspect,
            MemberState::Leaving => MemberState::Dead,
            state => state,
        };
        let member = Member {
            state,
            ..held.clone()
        };
        self.set(member, now)
    }

    /// Turns suspects whose time is up into dead, and forgets the long dead.
    /// Gives whether any state changed.
    pub fn tick(&mut self, now: Instant) -> bool {
        let gap = now.duration_since(self.ticked);
        self.ticked = now;
        if gap > OWN_PAUSE {
            // This VM was paused: refutations may wait unread, so that suspects
            // get the time again that it slept through.
            for seen in self.table.rows_mut() {
                seen.since = (seen.since + gap).min(now);
            }
        }
        let late = |seen: &&Seen| {
            seen.member.state == MemberState::Suspect && now.duration_since(seen.since) >= SUSPICION
        };
        let dead: Vec<Member> = self.table.rows().filter(late).map(dead).collect();
        let changed = !dead.is_empty();
        for member in dead {
            self.set(member, now);
        }
        self.table.retain(|seen| {
            seen.member.state != MemberState::Dead || now.duration_since(seen.since) < FORGET_AFTER
        });
        changed
    }

    /// Rows to hand on in one exchange.
    pub fn news(&mut self, limit: usize) -> Vec<Member> {
        let news = self.table.news(limit).into_iter();
        news.map(|seen| seen.member).collect()
    }

    /// What is held of others is not handed on again; this VM's own row still is.
    pub fn rest(&mut self) {
        let own = self.own.clone();
        self.table.rest(|seen| seen.member.node != own);
    }

    /// The members, sorted by name.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.iter().cloned().collect()
    }

    /// The members, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.table.rows().map(|seen| &seen.member)
    }

    /// Hash of all that is not dead; equal where the same is believed.
    pub fn digest(&mut self) -> u64 {
        if let Some(digest) = self.digest {
            return digest;
        }
        let mut text = Vec::new();
        for member in self.iter().filter(|it| it.state != MemberState::Dead) {
            text.extend_from_slice(member.node.as_bytes());
            text.push(member.state as u8);
            text.extend_from_slice(&member.incarnation.to_le_bytes());
        }
        let digest = xxh3_64(&text);
        self.digest = Some(digest);
        digest
    }

    /// VMs that exchanges go to, in turn: on the ring of all names by hash, those
    /// 1, 2, 4, 8 ... places on. A VM has as many of them as the size of the
    /// fleet has binary digits, is asked by as many, and news that goes round the
    /// turn once has reached everyone.
    #[must_use]
    pub fn neighbours(&self) -> Vec<&Member> {
        let mut ring: Vec<&Member> = self
            .iter()
            .filter(|member| member.state != MemberState::Dead)
            .collect();
        ring.sort_by_key(|member| xxh3_64(member.node.as_bytes()));
        let Some(own) = ring.iter().position(|member| member.node == self.own) else {
            return Vec::new();
        };
        let offsets = std::iter::successors(Some(1_usize), |offset| Some(offset * 2));
        let offsets = offsets.take_while(|offset| *offset < ring.len());
        offsets
            .map(|offset| ring[(own + offset) % ring.len()])
            .collect()
    }

    /// Other VMs that are alive, as far as is known.
    pub fn alive_peers(&self) -> impl Iterator<Item = &Member> {
        self.iter()
            .filter(|member| member.state == MemberState::Alive && member.node != self.own)
    }

    /// This VM's place among the live ones of its zone, in an order that all of
    /// them find alike.
    #[must_use]
    pub fn rank_in_zone(&self) -> usize {
        let Some(own) = self.find(&self.own) else {
            return 0;
        };
        let score = |member: &Member| xxh3_64(member.node.as_bytes());
        let before = |member: &&Member| member.zone == own.zone && score(member) < score(own);
        self.alive_peers().filter(before).count()
    }

    /// Members in this state.
    #[must_use]
    pub fn count(&self, state: MemberState) -> usize {
        self.iter().filter(|member| member.state == state).count()
    }

    /// What is believed of a member.
    #[must_use]
    pub fn state_of(&self, node: &str) -> Option<MemberState> {
        self.find(node).map(|member| member.state)
    }

    /// This VM's incarnation.
    #[must_use]
    pub fn own_incarnation(&self) -> u64 {
        self.find(&self.own).map_or(0, |own| own.incarnation)
    }

    fn find(&self, node: &str) -> Option<&Member> {
        let seen = self.table.find(|seen| seen.member.node.as_str().cmp(node));
        seen.map(|seen| &seen.member)
    }

    fn refute(&mut self, theirs: &Member, now: Instant) -> bool {
        let Some(own) = self.find(&self.own) else {
            return false;
        };
        if !supersedes(theirs, own) {
            return false;
        }
        let refuted = Member {
            incarnation: theirs.incarnation + 1,
            ..own.clone()
        };
        self.set(refuted, now)
    }

    fn set(&mut self, member: Member, now: Instant) -> bool {
        let sends = sends_among(self.table.rows().count());
        let since = now;
        let changed = self.table.take(Seen { member, since }, sends);
        if changed {
            self.digest = None;
        }
        changed
    }
}

fn dead(seen: &Seen) -> Member {
    Member {
        state: MemberState::Dead,
        ..seen.member.clone()
    }
}
