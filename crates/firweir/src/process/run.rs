//! What the programs' `main` functions share: parts, signals and exit codes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::LocalSet;

use crate::connection::client::HttpClient;
use crate::connection::net::SharedNet;
use crate::connection::net::TcpNet;
use crate::connection::object::ObjectApi;
use crate::process::clock::Clock;
use crate::process::clock::SystemClock;
use crate::process::log::Journal;
use crate::process::settings::Settings;
use crate::process::tasks::Tasks;

/// Exit code for input that cannot be used.
pub const BAD_INPUT: u8 = 2;

/// What every part is built from. Nothing below makes its own clock, transport
/// or random source, so that a replay can own all three.
#[derive(Debug, Clone)]
pub struct Parts {
    /// Settings of the VM.
    pub settings: Arc<Settings>,
    /// Transport.
    pub net: SharedNet,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Tasks of the process.
    pub tasks: Tasks,
    /// Events and metrics.
    pub journal: Journal,
    /// Seed of the process's random source.
    pub seed: u64,
}

impl Parts {
    /// Parts on the machine's clock and TCP.
    ///
    /// # Errors
    ///
    /// No local UDP port for metrics is to be had.
    pub fn for_machine(settings: Settings) -> std::io::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let journal = Journal::new(Arc::clone(&clock), &settings.node, settings.metrics)?;
        Ok(Self {
            settings: Arc::new(settings),
            net: Arc::new(TcpNet),
            clock,
            tasks: Tasks::new(),
            journal,
            seed: rand::random(),
        })
    }

    /// Parts of an operator's command, which listens nowhere.
    ///
    /// # Errors
    ///
    /// None today; metrics are off.
    pub fn for_operator(object_api: SocketAddr) -> std::io::Result<Self> {
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::for_machine(Settings {
            deployment: String::new(),
            node: format!("operator-{}", std::process::id()),
            zone: String::new(),
            object_api,
            steward_listen: nowhere,
            entry_listen: nowhere,
            draft_listen: nowhere,
            feed_listen: nowhere,
            seeds: Vec::new(),
            metrics: None,
            drain_linger_ms: 0,
            log_level: "off".to_owned(),
            vault_listen: None,
            data_folder: None,
            vault_limit_bytes: 0,
        })
    }

    /// An HTTP client.
    #[must_use]
    pub fn http(&self) -> HttpClient {
        HttpClient::new(Arc::clone(&self.net), self.tasks.clone())
    }

    /// A client of the object API that signs with this program's name.
    #[must_use]
    pub fn object_api(&self, program: &str) -> ObjectApi {
        let start_ms = self.clock.since_epoch().as_millis();
        let writer = format!(
            "{program}-{}-{start_ms}-{:x}",
            self.settings.node, self.seed
        );
        ObjectApi::new(self.http(), self.settings.object_api, writer)
    }

    /// A random source for one part of the program.
    #[must_use]
    pub fn random(&self, part: u64) -> Pcg64Mcg {
        Pcg64Mcg::seed_from_u64(self.seed ^ part.wrapping_mul(0x9E37_79B9_7F4A_7C15))
    }
}

/// Waits for SIGTERM or SIGINT, then drains; a second one ends the process.
pub async fn drain_on_signal(parts: Parts) {
    let (Ok(mut term), Ok(mut int)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return;
    };
    for signals in 1.. {
        tokio::select! {
            biased;
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        if signals > 1 {
            parts.journal.event("ended_at_once", &[]);
            std::process::exit(1);
        }
        parts.journal.event("drain_started", &[]);
        parts.tasks.drain();
    }
}

/// Runs a program whose parts all live on one thread.
pub fn run_local<F, E>(program: F) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => exit_code(runtime.block_on(LocalSet::new().run_until(program))),
        Err(error) => exit_code(Err(error)),
    }
}

/// Prints an error and gives the exit code for it.
pub fn exit_code<E: std::fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(BAD_INPUT)
        }
    }
}
