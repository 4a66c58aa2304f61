//! The stand-ins as a plain process, for a run of real separate processes.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use argh::FromArgs;
use firweir::connection::net::TcpNet;
use firweir::connection::object::EntryVm;
use firweir::connection::object::VmList;
use firweir::process::clock::SystemClock;
use firweir::process::run::exit_code;
use firweir::process::settings::Overrides;
use firweir::process::settings::Settings;
use firweir::process::settings::SettingsError;
use firweir::process::tasks::Tasks;
use firweir::version::view::Upstream;
use firweir_bench::engine::Engine;
use firweir_bench::engine::EngineSettings;
use firweir_bench::judge::Judge;
use firweir_bench::object_api::ObjectApiStand;
use firweir_bench::service;
use firweir_bench::stand::Ground;
use firweir_bench::trainer;
use firweir_bench::trainer::SharedKept;
use firweir_bench::trainer::TrainerSettings;
use firweir_bench::weight_store;
use quick_error::quick_error;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Runs the platform, engines, a plain service and a trainer on loopback, and
/// prints what arrives at the ends of the path.
#[derive(FromArgs)]
struct Flags {
    /// first port; the stand-ins take it and those behind it
    #[argh(option, default = "6000")]
    port: u16,
    /// model engines, for the service "models"
    #[argh(option, default = "2")]
    engines: u16,
    /// service instances, for the service "cards"
    #[argh(option, default = "1")]
    services: u16,
    /// microseconds per token of an engine's lone request
    #[argh(option, default = "800")]
    token_us: u64,
    /// more upstreams that the VM list names, at addresses where nothing answers
    #[argh(option, default = "0")]
    listed: u16,
    /// feed to train on; no trainer runs without it
    #[argh(option)]
    feed: Option<String>,
    /// samples of a whole lot of that feed
    #[argh(option, default = "8")]
    samples: u32,
    /// staleness bound of that feed
    #[argh(option, default = "3")]
    bound_versions: u64,
    /// seconds that the trainer trains on a lot
    #[argh(option, default = "2.0")]
    train_s: f64,
    /// settings files of the entry VMs, for the VM list
    #[argh(positional)]
    vms: Vec<PathBuf>,
}

quick_error! {
    /// Why the stand-ins cannot run.
    #[derive(Debug)]
    enum StandinError {
        /// A settings file cannot be used.
        Settings(err: SettingsError) {
            display("{err}")
            source(err)
            from()
        }
        /// An address cannot be listened at.
        Io(err: io::Error) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Offsets from the first port.
const WEIGHT_STORE: u16 = 1;
const TRAINER: u16 = 2;
const FIRST_UPSTREAM: u16 = 10;

/// Time between two lines of counts.
const REPORT_EVERY: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let flags: Flags = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => exit_code(runtime.block_on(run(&flags))),
        Err(error) => exit_code(Err(error)),
    }
}

async fn run(flags: &Flags) -> Result<(), StandinError> {
    let ground = Ground {
        net: Arc::new(TcpNet),
        clock: Arc::new(SystemClock),
        tasks: Tasks::new(),
        seed: 1,
    };
    let judge = Judge::new();
    let vms = load_settings(&flags.vms)?;
    let platform = ObjectApiStand::new(&ground, Duration::ZERO, 300, 2_000);
    platform.start(&ground, at(flags, 0)).await?;
    let load = Duration::from_millis(100);
    weight_store::start(&ground, at(flags, WEIGHT_STORE), 4, load).await?;
    let upstreams = start_upstreams(flags, &ground, &judge).await?;
    let entry = |vm: &Settings| EntryVm {
        node: vm.node.clone(),
        steward: vm.steward_listen,
    };
    platform.set_vms(VmList {
        entries: vms.iter().map(entry).collect(),
        upstreams,
    });
    if let Some(feed) = &flags.feed {
        let settings = TrainerSettings {
            feed: feed.clone(),
            feeds: vms.iter().map(|vm| vm.feed_listen).collect(),
            samples: flags.samples,
            bound_versions: flags.bound_versions,
            train: Duration::from_secs_f64(flags.train_s),
        };
        let kept = SharedKept::default();
        trainer::start(&ground, at(flags, TRAINER), settings, kept, judge.clone()).await?;
    }
    println!("standin ready port={}", flags.port);
    report_until_term(&judge, &platform).await
}

fn load_settings(paths: &[PathBuf]) -> Result<Vec<Settings>, SettingsError> {
    let load = |path: &PathBuf| Settings::load(Path::new(path), &Overrides::default());
    paths.iter().map(load).collect()
}

async fn start_upstreams(
    flags: &Flags,
    ground: &Ground,
    judge: &Judge,
) -> io::Result<Vec<Upstream>> {
    let settings = EngineSettings {
        token_us: flags.token_us,
        ..EngineSettings::default()
    };
    let listed = |service: &str, address| Upstream {
        service: service.to_owned(),
        address,
        zone: "local".to_owned(),
        leaving: false,
    };
    let mut upstreams = Vec::new();
    for index in 0..flags.engines {
        let address = at(flags, FIRST_UPSTREAM + index);
        let ground = Ground {
            seed: u64::from(index),
            ..ground.clone()
        };
        let weights = at(flags, WEIGHT_STORE);
        Engine::start(ground, address, settings, weights, judge.clone()).await?;
        upstreams.push(listed("models", address));
    }
    for index in 0..flags.services {
        let address = at(flags, FIRST_UPSTREAM + flags.engines + index);
        service::start(ground, address, Duration::from_millis(5), judge.clone()).await?;
        upstreams.push(listed("cards", address));
    }
    for index in 0..flags.listed {
        let address = SocketAddr::from(([127, 1, (index / 250) as u8, (index % 250) as u8], 9));
        upstreams.push(listed("models-listed", address));
    }
    Ok(upstreams)
}

async fn report_until_term(judge: &Judge, platform: &ObjectApiStand) -> Result<(), StandinError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut last = String::new();
    loop {
        tokio::select! {
            biased;
            _ = term.recv() => return Ok(()),
            () = tokio::time::sleep(REPORT_EVERY) => {}
        }
        let line = counts_line(judge, platform);
        if line != last {
            println!("{line}");
            last = line;
        }
    }
}

fn counts_line(judge: &Judge, platform: &ObjectApiStand) -> String {
    let counts = judge.counts();
    format!(
        "counts samples_delivered={} duplicated={} lost={} stale={} mislabelled={} executed={} \
         reexecuted={} api_writes={}",
        counts.samples_delivered,
        counts.duplicated,
        counts.lost,
        counts.stale,
        counts.mislabelled,
        judge.executed_count(),
        counts.reexecuted,
        platform.calls().writes,
    )
}

fn at(flags: &Flags, offset: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], flags.port + offset))
}
