//! What requests may hold together, and bodies in blocks.

use std::io::Read;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::connection::body::BodyError;
use firweir::connection::body::collect;
use firweir::connection::body::collect_into;
use firweir::connection::memory_budget::MemoryBudget;
use firweir::connection::memory_budget::Reservation;
use firweir::connection::open_connections::OpenConnections;
use firweir::connection::open_connections::RoomCause;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;

const KIB: usize = 1 << 10;

/// A request that asks for memory while others hold some.
struct Case {
    name: &'static str,
    held_by_others: usize,
    held_by_request: usize,
    asked: usize,
    is_given: bool,
}

const LIMIT: usize = 800 * KIB;

const CASES: [Case; 6] = [
    Case {
        name: "all is free",
        held_by_others: 0,
        held_by_request: 0,
        asked: 64 * KIB,
        is_given: true,
    },
    Case {
        name: "a small request takes what is kept for small ones",
        held_by_others: 736 * KIB,
        held_by_request: 0,
        asked: 64 * KIB,
        is_given: true,
    },
    Case {
        name: "a small request beyond the limit",
        held_by_others: 737 * KIB,
        held_by_request: 0,
        asked: 64 * KIB,
        is_given: false,
    },
    Case {
        name: "a large request up to what is kept",
        held_by_others: 572 * KIB,
        held_by_request: 64 * KIB,
        asked: 64 * KIB,
        is_given: true,
    },
    Case {
        name: "a large request leaves what is kept",
        held_by_others: 637 * KIB,
        held_by_request: 64 * KIB,
        asked: 64 * KIB,
        is_given: false,
    },
    Case {
        name: "a request that overflows",
        held_by_others: 1,
        held_by_request: usize::MAX,
        asked: usize::MAX,
        is_given: false,
    },
];

fn take(budget: &MemoryBudget, bytes: usize) -> Vec<Reservation> {
    budget.try_take(bytes, 0).into_iter().collect()
}

#[test]
fn a_part_is_kept_for_small_requests() {
    for case in CASES {
        let budget = MemoryBudget::new(LIMIT);
        let others: Vec<Reservation> = (0..case.held_by_others / KIB)
            .flat_map(|_| take(&budget, KIB))
            .collect();
        let own = case.held_by_request.min(64 * KIB);
        let own = take(&budget, own);
        let given = budget.try_take(case.asked, case.held_by_request);
        assert_eq!(given.is_some(), case.is_given, "{}", case.name);
        drop((others, own, given));
        assert_eq!(budget.held_bytes(), 0, "{}: all is given back", case.name);
    }
}

/// Guards against parts of a body that are lost or reordered where blocks meet.
#[tokio::test]
async fn a_body_is_the_same_in_blocks() {
    let whole: Vec<u8> = (0..300_000_u32).map(|number| number as u8).collect();
    for part_bytes in [1_000, 4_096, 65_537, 300_000] {
        let parts = whole.chunks(part_bytes).map(Bytes::copy_from_slice);
        let frames = parts.map(|part| Ok::<_, std::io::Error>(Frame::data(part)));
        let body = StreamBody::new(futures_util::stream::iter(frames));
        let read = collect(body, whole.len()).await.expect("it is not longer");
        assert_eq!(read.len(), whole.len(), "parts of {part_bytes}");
        let sent = read.clone().collect().await.expect("it never fails");
        assert_eq!(sent.to_bytes(), whole, "parts of {part_bytes}");
        let mut copied = Vec::new();
        let copying = read.clone().read_to_end(&mut copied);
        assert_eq!(copying.ok(), Some(whole.len()), "parts of {part_bytes}");
        assert_eq!(copied, whole, "parts of {part_bytes}");
        assert_eq!(read.into_bytes(), whole, "parts of {part_bytes}");
    }
    assert!(Blocks::default().is_empty());
}

#[tokio::test]
async fn a_body_that_finds_no_memory_gives_back_what_it_took() {
    let memory = OpenConnections::new(MemoryBudget::new(800 * KIB));
    let mut body = Full::new(Bytes::from(vec![b'x'; 900 * KIB]));
    let collected = collect_into(&memory, &mut body, usize::MAX).await;
    let part = collected.whole_or_part();
    let (error, read) = part.expect_err("it does not fit");
    assert_eq!(error, BodyError::NoMemory);
    assert_eq!(read.len(), 900 * KIB, "what was read is not lost");
    assert_eq!(memory.counts()[RoomCause::NoMemory as usize], 1);
    drop(read);
    assert_eq!(memory.held_bytes(), 0);
}
