//! Events as one line of key=value pairs, and metrics over statsd.

use std::fmt::Display;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::str::FromStr;
use std::sync::Arc;

use cadence::Counted;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;
use log::LevelFilter;
use simplelog::ConfigBuilder;

use crate::process::clock::Clock;

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

    /// Records a duration.
    pub fn time(&self, metric: &str, elapsed: std::time::Duration) {
        drop(self.metrics.time(metric, elapsed));
    }
}

fn push_field(line: &mut String, key: &str, value: &dyn Display) {
    let text = value.to_string();
    let plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n']);
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

/// As [`start_logging`], to any writer.
pub fn start_logging_to(level: &str, writer: impl io::Write + Send + 'static) {
    let level = LevelFilter::from_str(level).unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str("firweir")
        .build();
    drop(simplelog::WriteLogger::init(level, config, writer));
}
