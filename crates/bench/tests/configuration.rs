//! Accepted configurations: operators race each other, and what was accepted
//! reaches every VM and stays.

use std::time::Duration;

use firweir::connection::object::Condition;
use firweir::connection::object::Versioned;
use firweir::process::ctl::CtlError;
use firweir::process::steward::CONFIG_KEY;
use firweir::version::folder::File;
use firweir::version::folder::Head;
use firweir_bench::fleet::Fleet;
use firweir_bench::object_api::Trouble;
use firweir_bench::pipe::Zone;
use serde_json::json;
use tokio::task::LocalSet;

/// A change is in force everywhere within this.
const IN_FORCE: Duration = Duration::from_secs(8);

fn on_paused_clock(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(LocalSet::new().run_until(test));
}

fn file(name: &str, limit: u32) -> File {
    let content = json!({ "services": { "cards": {
        "kind": "plain", "limit_per_upstream": limit, "default_deadline_ms": 500
    }}});
    let name = name.to_owned();
    File { name, content }
}

fn head(fleet: &Fleet) -> Head {
    let value = fleet.platform.value(CONFIG_KEY).expect("a head");
    serde_json::from_slice(&value).expect("a head in JSON")
}

/// Guards against an accepted change that a racing operator's write takes back unseen.
#[test]
fn the_first_of_two_changes_to_one_file_wins() {
    on_paused_clock(async {
        let fleet = Fleet::plan(0, 3, 7).await.expect("a platform");
        let operators = [1, 2].map(|number| fleet.operator(number).expect("an operator"));
        for operator in &operators {
            let same = operator.apply_files(&[file("10.json", 1)]).await;
            same.expect("accepted, then in force already");
        }
        let (first, second) = ([file("10.json", 2)], [file("10.json", 3)]);
        let (first, second) = tokio::join!(
            operators[0].apply_files(&first),
            operators[1].apply_files(&second),
        );
        let winner = match (&first, &second) {
            (Ok(Some(2)), Err(CtlError::Raced(2, files))) if files == &["10.json"] => 2,
            (Err(CtlError::Raced(2, files)), Ok(Some(2))) if files == &["10.json"] => 3,
            other => panic!("one wins, the other is named the file: {other:?}"),
        };
        assert_eq!(head(&fleet).files, [file("10.json", winner)]);
    });
}

/// Guards against a late write that overwrites changes which the log no longer shows.
#[test]
fn an_apply_that_the_log_has_passed_is_refused() {
    on_paused_clock(async {
        let fleet = Fleet::plan(0, 3, 7).await.expect("a platform");
        let operator = fleet.operator(1).expect("an operator");
        operator
            .apply_files(&[file("10.json", 1)])
            .await
            .expect("accepted");
        let base = [file("10.json", 2)];
        let late = operator.apply_files(&base);
        let others = async {
            // The operator has read the head by then, and its write is on its way.
            tokio::time::sleep(Duration::from_millis(8)).await;
            let api = fleet.object_api(2).expect("a client");
            let found: Versioned<Head> = api.read(CONFIG_KEY).await.expect("read").expect("a head");
            let mut head = found.value;
            head = head
                .with_folder(&[file("10.json", 50)], "other-0")
                .expect("new");
            for number in 1..100 {
                let folder = [file("10.json", 50), file("20.json", number)];
                let write_id = format!("other-{number}");
                head = head.with_folder(&folder, &write_id).expect("new");
            }
            let condition = Condition::At(found.etag);
            api.write(CONFIG_KEY, &head, &condition)
                .await
                .expect("written");
        };
        fleet.platform.trouble(
            Trouble::SlowWrites(Duration::from_millis(500)),
            Duration::from_millis(12),
        );
        let (late, ()) = tokio::join!(late, others);
        assert!(matches!(late, Err(CtlError::LogPassed(1, 101))), "{late:?}");
        assert_eq!(head(&fleet).files[0], file("10.json", 50));
    });
}

struct RestartCase {
    name: &'static str,
    /// VMs that restart with nothing, one after the other.
    order: &'static [usize],
}

/// Guards against a configuration that is lost as all VMs are replaced while the platform is away.
#[test]
fn no_steward_serves_less_than_the_fleet_holds() {
    let cases = [
        RestartCase {
            name: "upwards",
            order: &[0, 1, 2, 3, 4],
        },
        RestartCase {
            name: "downwards",
            order: &[4, 3, 2, 1, 0],
        },
        RestartCase {
            name: "the same one twice",
            order: &[2, 2, 0, 4, 2],
        },
    ];
    for case in cases {
        on_paused_clock(async {
            let mut fleet = Fleet::plan(5, 3, 7).await.expect("a fleet");
            fleet.start().await.expect("started");
            let operator = fleet.operator(1).expect("an operator");
            for limit in [1, 2] {
                operator
                    .apply_files(&[file("10.json", limit)])
                    .await
                    .expect("accepted");
                tokio::time::sleep(IN_FORCE).await;
                assert_eq!(
                    fleet.revision_everywhere(),
                    u64::from(limit),
                    "{}",
                    case.name
                );
            }
            let outage = Duration::from_secs(600);
            fleet.platform.trouble(Trouble::Outage, outage);
            for index in case.order {
                fleet.kill(*index).await;
                fleet.start_node(*index).await.expect("restarted");
                tokio::time::sleep(IN_FORCE).await;
                assert_eq!(fleet.revision_everywhere(), 2, "{}: vm {index}", case.name);
            }
        });
    }
}

/// Guards against a fresh VM that serves an old revision on the word of one VM that was cut off.
#[test]
fn a_fresh_vm_does_not_serve_what_a_stale_peer_holds() {
    for seed in 0..8 {
        on_paused_clock(async move {
            let mut fleet = Fleet::plan(5, 5, seed).await.expect("a fleet");
            fleet.start().await.expect("started");
            let operator = fleet.operator(1).expect("an operator");
            operator
                .apply_files(&[file("10.json", 1)])
                .await
                .expect("accepted");
            tokio::time::sleep(IN_FORCE).await;
            fleet.cut_off(1, Duration::from_secs(30));
            for zone in [2, 3, 4].map(Zone) {
                fleet.fabric.cut(Zone(1), zone, Duration::from_secs(600));
                fleet.fabric.cut(zone, Zone(1), Duration::from_secs(600));
            }
            operator
                .apply_files(&[file("10.json", 2)])
                .await
                .expect("accepted");
            tokio::time::sleep(Duration::from_secs(29)).await;
            fleet
                .platform
                .trouble(Trouble::Outage, Duration::from_secs(600));
            fleet.kill(0).await;
            tokio::time::sleep(Duration::from_secs(2)).await;
            assert_eq!(fleet.nodes[1].views[0].load().revision, 1, "still behind");
            fleet.start_node(0).await.expect("restarted");
            let view = &fleet.nodes[0].views[0];
            for _ in 0..8_000 {
                tokio::time::sleep(Duration::from_millis(1)).await;
                let revision = view.load().revision;
                assert!(revision != 1, "seed {seed}: serves an old revision");
            }
            assert_eq!(view.load().revision, 2, "seed {seed}");
        });
    }
}

/// Guards against "in force everywhere" while a VM that is cut off still answers callers by the old
/// one.
#[test]
fn a_vm_that_is_cut_off_is_named_as_not_confirmed() {
    on_paused_clock(async {
        let mut fleet = Fleet::plan(4, 4, 7).await.expect("a fleet");
        fleet.start().await.expect("started");
        let operator = fleet.operator(1).expect("an operator");
        operator
            .apply_files(&[file("10.json", 1)])
            .await
            .expect("accepted");
        tokio::time::sleep(IN_FORCE).await;
        fleet.cut_off(3, Duration::from_secs(40));
        tokio::time::sleep(Duration::from_secs(15)).await;
        let revision = operator
            .apply_files(&[file("10.json", 2)])
            .await
            .expect("accepted")
            .expect("a change");
        let confirmed = operator.confirm(revision, IN_FORCE, |_done, _all| {}).await;
        let Err(CtlError::Unconfirmed(2, missing)) = confirmed else {
            panic!("the cut off VM is missing: {confirmed:?}");
        };
        assert_eq!(missing, ["vm-3"]);
        tokio::time::sleep(Duration::from_secs(30)).await;
        operator
            .confirm(revision, IN_FORCE, |_done, _all| {})
            .await
            .expect("in force everywhere once the cut has ended");
    });
}
