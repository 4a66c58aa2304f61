//! Shards of charged calls at two entries over one object API: scripts of claims,
//! ends and failures, with the verdict that each claim must get.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use firweir::process::charges::Shards;
use firweir::process::clock::Clock;
use firweir::process::clock::RuntimeClock;
use firweir::process::run::Parts;
use firweir::process::settings::Settings;
use firweir::process::shard::EndedClaim;
use firweir::process::tasks::Tasks;
use firweir::request::charge::Charge;
use firweir::request::charge::Progress;
use firweir::request::charge::StoredAnswer;
use firweir::request::charge::Verdict;
use firweir_bench::object_api::ObjectApiStand;
use firweir_bench::object_api::Trouble;
use firweir_bench::pipe::Fabric;
use firweir_bench::pipe::Latency;
use firweir_bench::pipe::Zone;
use firweir_bench::stand::Ground;

const MILLI: Duration = Duration::from_millis(1);

/// Two entries and the platform.
struct Fleet {
    clock: Arc<dyn Clock>,
    api: ObjectApiStand,
    entries: [(Shards, Tasks); 2],
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::new(IpAddr::from([10, 0, 0, entry as u8 + 1]), 7_001)
}

async fn fleet() -> Fleet {
    let fabric = Fabric::new(Latency {
        local: MILLI,
        zones: MILLI,
        clients: MILLI,
    });
    let clock: Arc<dyn Clock> = Arc::new(RuntimeClock::starting_at(Duration::from_secs(1_000_000)));
    let platform = SocketAddr::new(IpAddr::from([10, 9, 0, 1]), 6_000);
    let ground = Ground {
        net: Arc::new(fabric.host(platform.ip(), Zone(0))),
        clock: Arc::clone(&clock),
        tasks: Tasks::new(),
        seed: 1,
    };
    let api = ObjectApiStand::new(&ground, Duration::ZERO, 300, 2_000);
    api.start(&ground, platform)
        .await
        .expect("the platform listens");
    let entries = [0, 1].map(|entry| {
        let mut parts = Parts::for_operator(platform).expect("parts");
        parts.net = Arc::new(fabric.host(address(entry).ip(), Zone(0)));
        parts.clock = Arc::clone(&clock);
        parts.tasks = Tasks::new();
        parts.seed = entry as u64;
        parts.settings = Arc::new(Settings {
            draft_listen: address(entry),
            node: format!("vm-{entry}"),
            ..Settings::clone(&parts.settings)
        });
        (Shards::start(&parts), parts.tasks)
    });
    Fleet {
        clock,
        api,
        entries,
    }
}

/// One step of a script. Keys and claims are numbers; all keys share a shard.
enum Step {
    /// An entry is asked for a claim and must give this verdict.
    Begin(usize, u32, u32, Verdict),
    /// The same, and the verdict must come in this time.
    BeginWithin(usize, u32, u32, Verdict, Duration),
    /// An entry is told how a claim ended, and says whether it noted it.
    End(usize, u32, u32, Progress, bool),
    Freeze(usize),
    Thaw(usize),
    Kill(usize),
    Platform(Trouble, Duration),
    Wait(Duration),
}

fn key_of(number: u32) -> String {
    format!("00{number:030x}")
}

fn charge(key: u32, claim: u32) -> Charge {
    Charge {
        key: key_of(key),
        fingerprint: "f".to_owned(),
        claim: format!("claim-{claim}"),
    }
}

fn ended(key: u32, claim: u32, progress: Progress) -> EndedClaim {
    EndedClaim {
        key: key_of(key),
        claim: format!("claim-{claim}"),
        progress,
    }
}

fn answer(body: &str) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "text/plain".to_owned(),
        body: body.to_owned(),
    }
}

impl Fleet {
    async fn play(&self, name: &str, step: Step) {
        match step {
            Step::Begin(entry, key, claim, wanted) => {
                let verdict = self.entries[entry].0.begin(charge(key, claim)).await;
                assert_eq!(verdict, wanted, "{name}: key {key}, claim {claim}");
            }
            Step::BeginWithin(entry, key, claim, wanted, within) => {
                let start = self.clock.now();
                let verdict = self.entries[entry].0.begin(charge(key, claim)).await;
                let took = self.clock.now().duration_since(start);
                assert_eq!(verdict, wanted, "{name}: key {key}, claim {claim}");
                assert!(took <= within, "{name}: key {key} took {took:?}");
            }
            Step::End(entry, key, claim, progress, wanted) => {
                let noted = self.entries[entry].0.end(ended(key, claim, progress)).await;
                assert_eq!(noted, wanted, "{name}: end of key {key}, claim {claim}");
            }
            Step::Freeze(entry) => self.entries[entry].1.freeze(),
            Step::Thaw(entry) => self.entries[entry].1.thaw(),
            Step::Kill(entry) => self.entries[entry].1.kill(),
            Step::Platform(trouble, lasting) => self.api.trouble(trouble, lasting),
            Step::Wait(time) => tokio::time::sleep(time).await,
        }
    }
}

struct ScriptCase {
    name: &'static str,
    steps: Vec<Step>,
}

/// Guards against a charged call that runs twice, or never, whatever fails between its claim and
/// its end.
#[tokio::test(start_paused = true)]
async fn one_claim_at_most_is_told_to_run() {
    use Step::*;
    let refused = || Verdict::Refused(Duration::from_secs(2));
    let second = Duration::from_secs(1);
    let cases = [
        ScriptCase {
            name: "a resend gets the first answer, also from the next holder",
            steps: vec![
                Begin(0, 1, 1, Verdict::Run),
                Begin(0, 1, 2, Verdict::MayHaveRun),
                End(0, 1, 1, Progress::Answered(answer("7.50")), true),
                Begin(0, 1, 3, Verdict::Answered(answer("7.50"))),
                Wait(second * 2),
                Kill(0),
                Begin(1, 1, 4, Verdict::Answered(answer("7.50"))),
            ],
        },
        ScriptCase {
            name: "the holder dies between start and answer",
            steps: vec![
                Begin(0, 1, 1, Verdict::Run),
                Kill(0),
                Begin(1, 1, 2, Verdict::MayHaveRun),
                // The entry never got the first holder's reply and asks again.
                Begin(1, 1, 1, Verdict::Run),
            ],
        },
        ScriptCase {
            name: "the holder is paused, loses the shard, and wakes",
            steps: vec![
                Begin(0, 1, 1, Verdict::Run),
                Freeze(0),
                Begin(1, 1, 2, Verdict::MayHaveRun),
                Begin(1, 2, 3, Verdict::Run),
                Thaw(0),
                Begin(0, 2, 4, Verdict::Moved(address(1))),
                Begin(1, 3, 5, Verdict::Run),
                Wait(second * 3),
                Begin(0, 3, 6, Verdict::MayHaveRun),
            ],
        },
        ScriptCase {
            name: "the note that an earlier claim did not run arrives twice",
            steps: vec![
                Begin(0, 1, 1, Verdict::Run),
                End(0, 1, 1, Progress::NotRun, true),
                Begin(0, 1, 2, Verdict::Run),
                End(0, 1, 1, Progress::NotRun, false),
                Begin(0, 1, 3, Verdict::MayHaveRun),
            ],
        },
        ScriptCase {
            name: "writes take effect and their replies are lost",
            steps: vec![
                Begin(0, 1, 1, Verdict::Run),
                Platform(Trouble::RepliesLost, second * 10),
                BeginWithin(0, 2, 2, Verdict::Run, second / 2),
                Begin(0, 2, 3, Verdict::MayHaveRun),
                Kill(0),
                BeginWithin(1, 3, 4, Verdict::Run, second / 2),
                Begin(1, 2, 5, Verdict::MayHaveRun),
            ],
        },
        ScriptCase {
            name: "the object API goes down and comes back",
            steps: vec![
                Begin(0, 1, 1, Verdict::Run),
                End(0, 1, 1, Progress::Answered(answer("7.50")), true),
                Wait(second * 2),
                Platform(Trouble::Outage, second * 20),
                BeginWithin(0, 2, 2, refused(), second),
                BeginWithin(0, 3, 3, refused(), Duration::ZERO),
                Wait(second * 10),
                BeginWithin(0, 4, 4, refused(), Duration::ZERO),
                Wait(second * 20),
                Begin(0, 1, 5, Verdict::Answered(answer("7.50"))),
                Begin(0, 2, 6, Verdict::Run),
                Begin(0, 2, 7, Verdict::MayHaveRun),
                Begin(0, 4, 8, Verdict::Run),
            ],
        },
        ScriptCase {
            name: "the object API slows down: a claim is stored after its refusal",
            steps: vec![
                Begin(0, 1, 1, Verdict::Run),
                Platform(Trouble::Slow(second * 2 / 5), second * 60),
                BeginWithin(0, 2, 2, refused(), second),
                Wait(second * 2),
                BeginWithin(0, 2, 3, Verdict::Run, second),
                BeginWithin(0, 3, 4, Verdict::Run, second),
                Begin(0, 2, 5, Verdict::MayHaveRun),
            ],
        },
        ScriptCase {
            name: "the object API is slow: a refused claim leaves the call free",
            steps: vec![
                Begin(0, 1, 1, Verdict::Run),
                Platform(Trouble::Slow(second * 2), second * 5),
                BeginWithin(0, 2, 2, refused(), second),
                Wait(second * 20),
                Begin(0, 2, 3, Verdict::Run),
            ],
        },
    ];
    for case in cases {
        let fleet = fleet().await;
        for step in case.steps {
            fleet.play(case.name, step).await;
        }
    }
}

/// Guards against objects of charged calls that outgrow the platform's limit, or pile up.
#[tokio::test(start_paused = true)]
async fn objects_stay_small_and_few() {
    let fleet = fleet().await;
    let shards = &fleet.entries[0].0;
    let body = "x".repeat(30_000);
    let hour = 60 * 60;
    for key in 0..hour {
        assert_eq!(shards.begin(charge(key, key)).await, Verdict::Run, "{key}");
        let progress = Progress::Answered(answer(&body));
        assert!(shards.end(ended(key, key, progress)).await, "{key}");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let slots = (0..hour).take_while(|slot| value_bytes(&fleet, *slot) > 0);
    let sizes: Vec<usize> = slots.map(|slot| value_bytes(&fleet, slot)).collect();
    let largest = sizes.iter().max().copied().unwrap_or(0);
    assert!(largest < 1 << 20, "largest object: {largest} bytes");
    // Retention is a quarter of an hour; a segment holds two of these answers.
    assert!((400..520).contains(&sizes.len()), "{} objects", sizes.len());
}

fn value_bytes(fleet: &Fleet, slot: u32) -> usize {
    let value = fleet.api.value(&format!("charges/0/{slot}"));
    value.map_or(0, |value| value.len())
}
