//! Real vaults and feeds as separate processes: what a vault has confirmed
//! outlives SIGKILL, of the vault and of the holder.

mod support;

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use firweir::process::copies::Copies;
use firweir::process::copies::Fetched;
use firweir::process::run::Parts;
use firweir::request::chunk::Segment;
use firweir::request::lot::Lot;
use firweir::request::lot::Sample;
use firweir::version::view::Member;
use firweir::version::view::MemberState;
use firweir::version::view::SharedView;
use firweir::version::view::View;
use support::Fleet;
use support::Process;
use support::feeds;
use support::get;
use support::wait_for;

/// 48 parts: the vault dies among them.
const SAMPLES: u32 = 48;
const SAMPLE_BYTES: usize = 1 << 20;

fn big_lot(step: u64) -> Lot {
    let sample = |index| Sample {
        group: 0,
        index,
        attempt: 0,
        reward: 1.0,
        segments: vec![Segment {
            text: "x".repeat(SAMPLE_BYTES),
            tokens: 1,
            weight_version: step,
        }],
    };
    Lot::seal("lots", step, step, (0..SAMPLES).map(sample).collect())
}

fn members(fleet: &Fleet) -> Vec<Member> {
    let nowhere = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let member = |(index, vm): (usize, &support::VmPorts)| Member {
        node: format!("vm-{index}"),
        zone: format!("zone-{index}"),
        incarnation: 1,
        counter: 1,
        state: MemberState::Alive,
        steward_address: nowhere,
        draft_address: nowhere,
        feed_address: nowhere,
        revision: 0,
        vault_address: Some(vm.vault),
    };
    fleet.vms.iter().enumerate().map(member).collect()
}

/// Runs the holder's own client of vaults.
fn with_copies<T>(fleet: &Fleet, work: impl AsyncFnOnce(Copies) -> T) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let view = SharedView::default();
    view.store(Arc::new(View {
        members: members(fleet),
        ..View::default()
    }));
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(async {
        let parts = Parts::for_operator(fleet.object_api).expect("parts");
        work(Copies::new(&parts, view)).await
    }))
}

fn keep(fleet: &Fleet, lot: &Lot) -> Vec<String> {
    let mut kept = with_copies(fleet, async |copies| copies.keep(lot, 0).await);
    kept.sort_unstable();
    kept
}

fn fetch(fleet: &Fleet, lot: &Lot, node: &str) -> Fetched {
    let record = lot.record(vec![node.to_owned()]);
    with_copies(fleet, async |copies| copies.fetch(&lot.feed, &record).await)
}

fn file_of(folder: &Path, step: u64) -> Option<PathBuf> {
    let infix = format!("-{step}-{step}-");
    let mut files = fs::read_dir(folder).ok()?;
    files.find_map(|file| {
        let path = file.ok()?.path();
        path.file_name()?.to_str()?.contains(&infix).then_some(path)
    })
}

fn start_vault(fleet: &Fleet, vm: usize, starts: usize) -> Process {
    let vault = fleet.program("vault", vm);
    let started = || {
        fleet
            .read_log(&format!("vault-{vm}"))
            .matches("event=vault_started")
            .count()
    };
    wait_for("the vault", || (started() >= starts).then_some(()));
    vault
}

/// Guards against a torn append that takes confirmed lots along.
#[test]
fn a_vault_killed_in_an_append_keeps_what_it_confirmed() {
    let fleet = Fleet::plan_with_vaults("vault-kill", 2);
    let first = start_vault(&fleet, 0, 1);
    let _second = start_vault(&fleet, 1, 1);
    let (confirmed, torn) = (big_lot(1), big_lot(2));
    assert_eq!(keep(&fleet, &confirmed), ["vm-0", "vm-1"]);

    let folder = fleet.folder.join("vault-0");
    let kept = std::thread::scope(|scope| {
        let keeping = scope.spawn(|| keep(&fleet, &torn));
        let file = wait_for("the second lot's file", || file_of(&folder, 2));
        wait_for("some parts", || {
            (fs::metadata(&file).ok()?.len() > 1 << 21).then_some(())
        });
        first.kill();
        let length = fs::metadata(&file)
            .expect("the file outlives the process")
            .len();
        let cut = fs::File::options().write(true).open(&file).expect("file");
        cut.set_len(length - 10).expect("cut");
        let _again = start_vault(&fleet, 0, 2);
        let kept = keeping.join().expect("the holder's thread");
        assert!(fleet.log_has("vault-0", "event=vault_tail_cut"));
        for lot in [&confirmed, &torn] {
            let found = fetch(&fleet, lot, "vm-0");
            assert!(
                matches!(&found, Fetched::Lot(found) if found == lot),
                "step {}",
                lot.step
            );
        }
        kept
    });
    assert_eq!(kept, ["vm-0", "vm-1"]);
}

const CONFIG: &str = r#"{"services": {
    "models": {"kind": "engine", "limit_per_upstream": 32, "default_deadline_ms": 20000}
}}"#;

fn accepted(fleet: &Fleet, vm: usize) -> Option<String> {
    let (status, text) = get(fleet.vms[vm].feed, "/feeds/lots/lots/accepted")?;
    let (_, body) = text.split_once("\r\n\r\n")?;
    (status == 200).then(|| body.to_owned())
}

/// Guards against a lot that is drafted twice, or differs, after its trainer and holder died.
#[test]
fn an_accepted_lot_is_taken_again_after_its_holder_died() {
    let fleet = Fleet::plan_with_vaults("accepted-again", 2);
    fleet.write_config("10-services.json", CONFIG);
    fleet.write_config("20-feeds.json", &feeds(&fleet));
    let _standin = fleet.standin(&["--feed", "lots", "--samples", "8", "--train-s", "600"]);
    let _vaults = [start_vault(&fleet, 0, 1), start_vault(&fleet, 1, 1)];
    let _others: Vec<Process> = (0..2)
        .flat_map(|vm| ["steward", "entry"].map(|program| fleet.program(program, vm)))
        .collect();
    let mut programs: Vec<Process> = (0..2).map(|vm| fleet.program("feed", vm)).collect();
    wait_for("the fleet to confirm", || {
        (fleet.ctl("apply").0 == Some(0)).then_some(())
    });
    let holds = |vm: usize| fleet.log_has(&format!("feed-{vm}"), "event=feed_taken");
    let holder = wait_for("a holder", || (0..2).find(|vm| holds(*vm)));
    let other = 1 - holder;
    let before = wait_for("an accepted lot", || accepted(&fleet, holder));
    let log = format!("feed-{holder}");
    wait_for("the next lot to be sealed", || {
        (fleet.read_log(&log).matches("event=lot_sealed").count() >= 2).then_some(())
    });
    programs.remove(holder).kill();
    let after = wait_for("the accepted lot from the next holder", || {
        if holds(other) {
            accepted(&fleet, other)
        } else {
            None
        }
    });
    assert_eq!(after, before);
    wait_for("the sealed lot to be taken over", || {
        fleet
            .log_has(&format!("feed-{other}"), "event=lot_taken_over")
            .then_some(())
    });
    assert!(!fleet.log_has(&format!("feed-{other}"), "event=lot_sealed"));
}
