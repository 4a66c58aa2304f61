//! The vault's files under faults of process and disk: what a vault says that it
//! has, it has.

use std::rc::Rc;

use firweir::process::lot_store::LotStore;
use firweir::process::lot_store::StoreError;
use firweir::request::record::LotKey;
use firweir_bench::memory_storage::DiskTrouble;
use firweir_bench::memory_storage::MemoryStorage;

const LIMIT_BYTES: u64 = 10_000;
const PARTS: u32 = 3;

fn key(step: u64) -> LotKey {
    LotKey {
        feed: "lots".to_owned(),
        step,
        generation: 1,
        digest: format!("{step:08x}"),
    }
}

fn body(part: u32) -> Vec<u8> {
    vec![b'a' + part as u8; 1_000]
}

fn open(disk: &MemoryStorage) -> LotStore {
    let (store, _cuts) = LotStore::open(Rc::new(disk.clone()), LIMIT_BYTES).expect("a disk");
    store
}

fn put(store: &mut LotStore, step: u64) -> Result<(), StoreError> {
    for part in 0..PARTS {
        store.append(&key(step), part, PARTS, &body(part))?;
    }
    Ok(())
}

fn get(store: &LotStore, step: u64) -> Result<Vec<u8>, StoreError> {
    let mut whole = Vec::new();
    for part in 0..PARTS {
        whole.extend(store.read(&key(step), part)?.1);
    }
    Ok(whole)
}

fn whole_body() -> Vec<u8> {
    (0..PARTS).flat_map(body).collect()
}

struct DamageCase {
    name: &'static str,
    damage: fn(&mut Vec<u8>),
    /// The files' damage is seen at the start.
    seen_at_start: bool,
}

/// Guards against a lot with other bytes than were written, after a loss of power or a changed bit.
#[test]
fn a_damaged_lot_is_missing_and_can_be_put_again() {
    let cases = [
        DamageCase {
            name: "nothing",
            damage: |_bytes| {},
            seen_at_start: false,
        },
        DamageCase {
            name: "the last record is torn",
            damage: |bytes| bytes.truncate(bytes.len() - 500),
            seen_at_start: true,
        },
        DamageCase {
            name: "the last record has only a part of its head",
            damage: |bytes| bytes.truncate(bytes.len() - 1_007),
            seen_at_start: true,
        },
        DamageCase {
            name: "the title is torn",
            damage: |bytes| bytes.truncate(9),
            seen_at_start: true,
        },
        DamageCase {
            name: "zeros follow, as after a power loss",
            damage: |bytes| {
                let length = bytes.len();
                bytes.truncate(length - 700);
                bytes.resize(length + 4_096, 0);
            },
            seen_at_start: true,
        },
        DamageCase {
            name: "one bit of the last part changes",
            damage: |bytes| {
                let last = bytes.len() - 1;
                bytes[last] ^= 1;
            },
            seen_at_start: true,
        },
        DamageCase {
            name: "a length changes to more than any part has",
            damage: |bytes| {
                let last = bytes.len() - 1_012;
                bytes[last + 3] = 0xff;
            },
            seen_at_start: true,
        },
    ];
    for case in cases {
        let name = case.name;
        let disk = MemoryStorage::default();
        let mut running = open(&disk);
        put(&mut running, 4).expect(name);
        disk.alter(case.damage);
        let found = get(&running, 4);
        assert_eq!(found.is_err(), case.seen_at_start, "{name}: {found:?}");
        let (mut store, cuts) = LotStore::open(Rc::new(disk), LIMIT_BYTES).expect(name);
        assert_eq!(!cuts.is_empty(), case.seen_at_start, "{name}: {cuts:?}");
        if case.seen_at_start {
            assert!(matches!(get(&store, 4), Err(StoreError::Missing)), "{name}");
        }
        put(&mut store, 4).expect(name);
        assert_eq!(get(&store, 4).expect(name), whole_body(), "{name}");
    }
}

struct TroubleCase {
    name: &'static str,
    trouble: DiskTrouble,
    expected: &'static str,
}

/// Guards against a full or failing disk that loses what it had stored, or keeps parts of a failed
/// try.
#[test]
fn a_failing_disk_refuses_and_loses_nothing_else() {
    let cases = [
        TroubleCase {
            name: "disk full",
            trouble: DiskTrouble::Full,
            expected: "full",
        },
        TroubleCase {
            name: "not made durable",
            trouble: DiskTrouble::Unsynced,
            expected: "write: ",
        },
    ];
    for case in cases {
        let disk = MemoryStorage::default();
        let mut store = open(&disk);
        put(&mut store, 4).expect(case.name);
        store.append(&key(5), 0, PARTS, &body(0)).expect(case.name);
        disk.set_trouble(case.trouble);
        let refused = put(&mut store, 5).expect_err(case.name).to_string();
        assert!(
            refused.starts_with(case.expected),
            "{}: {refused}",
            case.name
        );
        assert!(
            matches!(get(&store, 5), Err(StoreError::Missing)),
            "{}",
            case.name
        );
        disk.set_trouble(DiskTrouble::None);
        put(&mut store, 5).expect(case.name);
        for store in [store, open(&disk)] {
            assert_eq!(
                get(&store, 4).expect(case.name),
                whole_body(),
                "{}",
                case.name
            );
            assert_eq!(
                get(&store, 5).expect(case.name),
                whole_body(),
                "{}",
                case.name
            );
        }
    }
}

#[test]
fn an_unreadable_disk_is_named() {
    let disk = MemoryStorage::default();
    let mut store = open(&disk);
    put(&mut store, 4).expect("a disk that is well");
    disk.set_trouble(DiskTrouble::Unreadable);
    assert!(matches!(get(&store, 4), Err(StoreError::Read(_))));
}

/// A holder that was paused repeats an old call after others have gone on. It
/// changes nothing of what is stored, and removes nothing that is needed.
#[test]
fn late_and_repeated_calls_change_nothing() {
    let mut store = open(&MemoryStorage::default());
    put(&mut store, 4).expect("room");
    let used_bytes = store.used_bytes();
    put(&mut store, 4).expect("a repeat is taken");
    assert_eq!(store.append(&key(4), 0, PARTS, b"other").ok(), Some(PARTS));
    assert_eq!(store.used_bytes(), used_bytes);
    let gap = store.append(&key(5), 1, PARTS, &body(1));
    assert!(matches!(gap, Err(StoreError::OutOfOrder(0))), "{gap:?}");
    store.drop_below("lots", 4);
    store.drop_below("lots", 1);
    assert_eq!(get(&store, 4).expect("at the floor"), whole_body());
}

/// Lots below the floor make room; without any a vault at its limit refuses
/// rather than dropping what a record may name.
#[test]
fn the_limit_holds_and_the_floor_makes_room() {
    let disk = MemoryStorage::default();
    let mut store = open(&disk);
    let refused = (0..10).find(|step| put(&mut store, *step).is_err());
    let refused = refused.expect("ten lots are above the limit");
    assert!(refused > 1, "the limit has room for two lots");
    assert!(store.used_bytes() <= LIMIT_BYTES);
    assert_eq!(get(&store, 0).expect("an old lot stays"), whole_body());
    store.drop_below("lots", refused);
    put(&mut store, refused).expect("room again");
    assert_eq!(open(&disk).whole_lots(), 1);
}
