//! Observed state merges the same way everywhere, and the configuration's floor
//! holds, whatever arrives in which order.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use firweir::process::membership::Membership;
use firweir::process::observations::Observations;
use firweir::process::spread::Row;
use firweir::process::spread::Table;
use firweir::process::upstreams::UpstreamRow;
use firweir::version::folder::File;
use firweir::version::folder::Head;
use firweir::version::folder::HeadError;
use firweir::version::folder::HeadNews;
use firweir::version::view::Member;
use firweir::version::view::MemberState;
use firweir::version::view::Observed;
use firweir::version::view::Suspect;
use firweir::version::view::Upstream;
use proptest::prelude::*;
use serde_json::json;

const SENDS: u32 = 4;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn member(node: usize, incarnation: u64, state: MemberState, port: u16) -> Member {
    Member {
        node: format!("vm-{node}"),
        zone: "a".to_owned(),
        incarnation,
        counter: 0,
        state,
        steward_address: address(port),
        draft_address: address(port),
        feed_address: address(port),
        vault_address: None,
        revision: 0,
    }
}

prop_compose! {
    fn any_member()(
        node in 0..4_usize,
        incarnation in 0..4_u64,
        state in prop::sample::select(vec![
            MemberState::Alive, MemberState::Suspect, MemberState::Leaving, MemberState::Dead,
        ]),
        port in 1..3_u16,
    ) -> Member {
        member(node, incarnation, state, port)
    }
}

prop_compose! {
    fn any_row()(
        port in 1..4_u16, zone in "[ab]", stamp in 0..4_u64, leaving: bool, listed: bool,
    ) -> UpstreamRow {
        let service = "cards".to_owned();
        let upstream = Upstream { service, address: address(port), zone, leaving };
        UpstreamRow { upstream, stamp, listed }
    }
}

prop_compose! {
    fn any_report()(node in "[ab]", incarnation in 0..4_u64, counter in 0..4_u64) -> Observed {
        Observed { node, incarnation, counter, ..Observed::default() }
    }
}

/// The members as they are held, but for this VM's own row.
fn merged(now: Instant, messages: &[Vec<Member>]) -> Vec<Member> {
    let own = member(9, 0, MemberState::Alive, 9);
    let mut membership = Membership::new(own, now);
    for message in messages {
        membership.merge(message.clone(), now);
    }
    membership.members()
}

fn taken<R: Row>(rows: &[R]) -> Vec<R> {
    let mut table = Table::default();
    for row in rows {
        table.take(row.clone(), SENDS);
    }
    table.rows().cloned().collect()
}

fn reversed<T: Clone>(items: &[T]) -> Vec<T> {
    items.iter().rev().cloned().collect()
}

fn twice<T: Clone>(items: &[T]) -> Vec<T> {
    [items, items].concat()
}

/// Heads of one history, oldest first; revisions 1 to `changes`.
fn history(changes: u64) -> Vec<Head> {
    let mut heads = vec![Head::default()];
    for number in 1..=changes {
        let name = format!("{}.json", number % 3);
        let mut folder = heads[heads.len() - 1].files.clone();
        folder.retain(|file| file.name != name);
        let content = json!({ "services": { "cards": { "limit_per_upstream": number } } });
        if number % 5 != 0 {
            folder.push(File { name, content });
        }
        folder.sort_by(|left, right| left.name.cmp(&right.name));
        let next = heads[heads.len() - 1].with_folder(&folder, &format!("w-{number}"));
        heads.extend(next);
    }
    heads
}

proptest! {
    /// Two stewards hear the same in another order, grouped otherwise, or twice.
    #[test]
    fn members_merge_alike(messages in prop::collection::vec(
        prop::collection::vec(any_member(), 0..6), 0..6,
    )) {
        let now = Instant::now();
        let expected = merged(now, &messages);
        prop_assert_eq!(&merged(now, &reversed(&messages)), &expected, "commutative");
        let halves = messages.split_at(messages.len() / 2);
        let grouped = [merged(now, halves.0), merged(now, halves.1)];
        prop_assert_eq!(&merged(now, &grouped), &expected, "associative");
        prop_assert_eq!(&merged(now, &twice(&messages)), &expected, "idempotent");
    }

    /// An old message about a VM that is dead arrives late. Were it believed, the
    /// dead VM would get work again, and its death would be found anew.
    #[test]
    fn the_dead_stay_dead_at_their_incarnation(late in prop::collection::vec(any_member(), 0..30)) {
        let now = Instant::now();
        let own = member(9, 0, MemberState::Alive, 9);
        let mut membership = Membership::new(own, now);
        membership.merge(vec![member(0, 2, MemberState::Dead, 2)], now);
        let older = late.into_iter().filter(|it| it.incarnation <= 2);
        membership.merge(older.collect(), now);
        prop_assert_eq!(membership.state_of("vm-0"), Some(MemberState::Dead));
    }

    /// A VM restarts while its clock stands lower than before, or is wrongly said
    /// to be dead. Unless it surpasses what is said of it, it stays dead to others.
    #[test]
    fn a_live_vm_refutes_whatever_is_said_of_it(said in prop::collection::vec(any_member(), 0..10)) {
        let now = Instant::now();
        let mut membership = Membership::new(member(0, 1, MemberState::Alive, 1), now);
        membership.merge(said.clone(), now);
        let mut other = Membership::new(member(9, 0, MemberState::Alive, 9), now);
        other.merge(said, now);
        other.merge(membership.members(), now);
        prop_assert_eq!(other.state_of("vm-0"), Some(MemberState::Alive));
    }

    #[test]
    fn upstreams_and_reports_merge_alike(
        rows in prop::collection::vec(any_row(), 0..20),
        reports in prop::collection::vec(any_report(), 0..20),
    ) {
        prop_assert_eq!(taken(&reversed(&rows)), taken(&rows));
        prop_assert_eq!(taken(&twice(&rows)), taken(&rows));
        prop_assert_eq!(taken(&reversed(&reports)), taken(&reports));
        prop_assert_eq!(taken(&twice(&reports)), taken(&reports));
    }

    /// Guards against a configuration that goes back as heads arrive in any order.
    #[test]
    fn the_held_revision_never_falls(
        changes in 1..90_u64,
        arrivals in prop::collection::vec((any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<bool>()), 0..40),
    ) {
        let heads = history(changes);
        let mut held = Head::default();
        for (newest, base, whole) in arrivals {
            let head = &heads[newest.index(heads.len())];
            let since = heads[base.index(heads.len())].revision;
            let changes = head.changes_since(since).filter(|_| !whole);
            let news = changes.map_or_else(|| HeadNews::Whole(head.clone()), HeadNews::Changes);
            let before = held.revision;
            match held.advanced_by(news) {
                Ok(Some(advanced)) => held = advanced,
                Ok(None) => prop_assert!(head.revision <= before || since >= head.revision),
                Err(error) => {
                    prop_assert_eq!(error, HeadError::DoesNotFollow(since, before));
                    prop_assert_ne!(since, before);
                }
            }
            prop_assert!(held.revision >= before);
            prop_assert_eq!(&held, &heads[held.revision as usize]);
        }
    }
}

struct RefusedCase {
    name: &'static str,
    spoil: fn(&mut Head),
    error: HeadError,
}

/// A faulty peer sends a head that no operator applied. Taken in, its revision
/// would be a floor that the true configuration could never reach again.
#[test]
fn a_head_that_contradicts_itself_is_refused() {
    let cases = [
        RefusedCase {
            name: "a revision that its log does not show",
            spoil: |head| head.revision += 1,
            error: HeadError::Inconsistent(5),
        },
        RefusedCase {
            name: "a gap in the log",
            spoil: |head| drop(head.log.remove(2)),
            error: HeadError::Inconsistent(4),
        },
        RefusedCase {
            name: "a revision from the future",
            spoil: |head| head.revision = u64::MAX,
            error: HeadError::FromTheFuture(u64::MAX, 2),
        },
    ];
    let heads = history(4);
    for case in cases {
        let mut head = heads[4].clone();
        (case.spoil)(&mut head);
        let got = heads[2].advanced_by(HeadNews::Whole(head));
        assert_eq!(got, Err(case.error), "{}", case.name);
    }
}

/// A suspect gets its time again after this VM itself stood still, because its
/// refutation may wait unread; else every long pause would end in false deaths.
#[test]
fn a_pause_of_its_own_is_no_proof_of_a_death() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut membership = Membership::new(member(9, 0, MemberState::Alive, 9), start);
    membership.merge(vec![member(0, 1, MemberState::Alive, 1)], start);
    assert!(membership.unreached("vm-0", at(100)));
    membership.tick(at(200));
    membership.tick(at(60_000));
    assert_eq!(membership.state_of("vm-0"), Some(MemberState::Suspect));
    for ms in (60_500..64_000).step_by(500) {
        membership.tick(at(ms));
    }
    assert_eq!(membership.state_of("vm-0"), Some(MemberState::Dead));
}

fn report(counter: u64, suspects: &[(u64, u32)]) -> Observed {
    let suspects = suspects
        .iter()
        .map(|(fingerprint, upstreams_lost)| Suspect {
            fingerprint: *fingerprint,
            upstreams_lost: *upstreams_lost,
        });
    Observed {
        node: "vm-3".to_owned(),
        counter,
        suspects: suspects.collect(),
        ..Observed::default()
    }
}

/// Guards against a request that crashes a fourth upstream, since a VM that was down missed a
/// report.
#[test]
fn a_missed_suspect_shows_in_the_digest() {
    struct Case {
        name: &'static str,
        held: Observed,
        newer: Observed,
        differs: bool,
    }
    let cases = [
        Case {
            name: "a suspect more",
            held: report(3, &[(9162, 2)]),
            newer: report(4, &[(1148, 1), (9162, 2)]),
            differs: true,
        },
        Case {
            name: "a loss more",
            held: report(3, &[(9162, 1)]),
            newer: report(4, &[(9162, 2)]),
            differs: true,
        },
        Case {
            name: "a report with the same suspects",
            held: report(3, &[(9162, 2)]),
            newer: report(4, &[(9162, 2)]),
            differs: false,
        },
    ];
    for case in cases {
        let mut behind = Observations::default();
        let mut ahead = Observations::default();
        behind.take(case.held.clone(), SENDS);
        ahead.take(case.held, SENDS);
        ahead.take(case.newer, SENDS);
        let differs = behind.suspects_digest() != ahead.suspects_digest();
        assert_eq!(differs, case.differs, "{}", case.name);
    }
}
