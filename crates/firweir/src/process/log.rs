//! Events as one line of key=value pairs, and metrics over statsd.

use std::fmt::Display;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use cadence::Counted;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use log::LevelFilter;
use simplelog::ConfigBuilder;

use crate::process::clock::Clock;
use crate::process::metrics::Exposition;

/// Prefix of every metric.
const PREFIX: &str = "firweir";

/// Writes events and metrics of one process; cheap to clone.
#[derive(Clone)]
pub struct Journal {
    clock: Arc<dyn Clock>,
    node: Arc<str>,
    metrics: Arc<StatsdClient>,
}

impl std::fmt::Debug for Journal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Journal")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

impl Journal {
    /// A journal whose metrics go to `metrics`, or nowhere.
    ///
    /// # Errors
    ///
    /// No local UDP port is to be had.
    pub fn new(clock: Arc<dyn Clock>, node: &str, metrics: Option<SocketAddr>) -> io::Result<Self> {
        let client = match metrics {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(to) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(to, socket).map_err(io::Error::other)?;
                StatsdClient::from_sink(PREFIX, sink)
            }
        };
        Ok(Self {
            clock,
            node: node.into(),
            metrics: Arc::new(client),
        })
    }

    /// A journal whose metrics are kept in memory.
    #[must_use]
    pub fn exposing(clock: Arc<dyn Clock>, node: &str, exposition: Exposition) -> Self {
        Self {
            clock,
            node: node.into(),
            metrics: Arc::new(StatsdClient::from_sink(PREFIX, exposition)),
        }
    }

    /// Logs one event.
    pub fn event(&self, name: &str, fields: &[(&str, &dyn Display)]) {
        if !log::log_enabled!(log::Level::Info) {
            return;
        }
        let time_ms = self.clock.since_epoch().as_millis();
        let mut line = format!("time_ms={time_ms} node={} event={name}", self.node);
        for (key, value) in fields {
            push_field(&mut line, key, *value);
        }
        log::info!("{line}");
    }

    /// Counts one occurrence.
    pub fn count(&self, metric: &str) {
        drop(self.metrics.count(metric, 1));
    }

    /// Adds `number` to the counter `metric`.
    pub fn count_many(&self, metric: &str, number: u64) {
        drop(self.metrics.count(metric, number));
    }

    /// Records a duration.
    pub fn time(&self, metric: &str, elapsed: std::time::Duration) {
        drop(self.metrics.time(metric, elapsed));
    }
}

fn push_field(line: &mut String, key: &str, value: &dyn Display) {
    let text = value.to_string();
    let is_special =
        |byte: char| byte.is_whitespace() || byte.is_control() || matches!(byte, '"' | '=');
    let plain = !text.is_empty() && !text.contains(is_special);
    let written = if plain {
        write!(line, " {key}={text}")
    } else {
        write!(line, " {key}={text:?}")
    };
    debug_assert!(written.is_ok(), "writing to a string does not fail");
}

/// Sends events of this severity and above to standard error.
pub fn start_logging(level: &str) {
    start_logging_to(level, io::stderr());
}

/// Lines that wait for a reader that has stalled; more are dropped and counted.
const LINES_WAITING: usize = 8_192;

/// Time that the writer gathers lines for one write: on a small VM each wake-up costs.
const GATHER_LINES: Duration = Duration::from_millis(50);

/// Sends events to standard output through a queue and a thread of its own, so that
/// a reader that stalls stops nothing. Lines beyond the queue are dropped, and a line
/// says how many.
pub fn start_queued_logging(level: &str) {
    let (lines, queued) = std::sync::mpsc::sync_channel(LINES_WAITING);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = QueuedLines {
        lines,
        dropped: Arc::clone(&dropped),
    };
    let thread = std::thread::Builder::new().name("log".to_owned());
    let writing = thread.spawn(move || write_lines(&queued, &dropped, &mut io::stdout()));
    match writing {
        Ok(_) => start_logging_to(level, writer),
        // Without a thread a stalled reader can stop the program, with no log nobody
        // could say why it does anything.
        Err(_) => start_logging_to(level, io::stdout()),
    }
}

/// A writer whose lines wait for [`write_lines`].
#[derive(Debug)]
pub struct QueuedLines {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl QueuedLines {
    /// A writer that queues lines, and counts those for which there is no room.
    #[must_use]
    pub const fn new(lines: SyncSender<Vec<u8>>, dropped: Arc<AtomicU64>) -> Self {
        Self { lines, dropped }
    }
}

impl io::Write for QueuedLines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines until their sender is gone or the output is closed.
pub fn write_lines(queued: &Receiver<Vec<u8>>, dropped: &AtomicU64, output: &mut impl io::Write) {
    while let Ok(mut batch) = queued.recv() {
        std::thread::sleep(GATHER_LINES);
        while let Ok(line) = queued.try_recv() {
            batch.extend(line);
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            batch.extend(format!("event=log_lines_dropped lines={lost}\n").into_bytes());
        }
        if output
            .write_all(&batch)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}

/// As [`start_logging`], to any writer.
pub fn start_logging_to(level: &str, writer: impl io::Write + Send + 'static) {
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("firweir")
        .build();
    // The logger itself takes every event, so that another level can come into force.
    drop(simplelog::WriteLogger::init(
        LevelFilter::Trace,
        config,
        writer,
    ));
    set_log_level(level);
}

/// Logs from this level on; an unknown one counts as `info`.
pub fn set_log_level(level: &str) {
    log::set_max_level(LevelFilter::from_str(level).unwrap_or(LevelFilter::Info));
}
