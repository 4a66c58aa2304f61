//! What decides a request: the version of the configuration, how old the news of it is, and by which
//! way that came. Written with every request, so that one that an old version decided can be told
//! from one that the newest decided wrongly.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// The way by which a node's objects were last known to be the newest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NewsSource {
    /// None yet.
    #[default]
    Nowhere,
    /// Directly from the store.
    Store,
    /// From the store, by a call that this node forwarded.
    Detour(SocketAddr),
    /// From this relay seed.
    Seed(SocketAddr),
}

impl fmt::Display for NewsSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Nowhere => formatter.write_str("nowhere"),
            Self::Store => formatter.write_str("store"),
            Self::Detour(node) => write!(formatter, "detour:{node}"),
            Self::Seed(seed) => write!(formatter, "seed:{seed}"),
        }
    }
}

/// Age of news for the log: in milliseconds, `unknown` if there were none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewsAge(pub Option<Duration>);

impl fmt::Display for NewsAge {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(age) => write!(formatter, "{}", age.as_millis()),
            None => formatter.write_str("unknown"),
        }
    }
}

/// The configuration by which a node decides a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigBasis {
    /// Its version.
    pub version: u64,
    /// Time since it was known to be the store's newest.
    pub age: NewsAge,
    /// The way by which that was last known.
    pub source: NewsSource,
}

impl ConfigBasis {
    /// The fields of the log line of a request.
    #[must_use]
    pub fn fields(&self) -> [(&'static str, &dyn fmt::Display); 3] {
        [
            ("config", &self.version),
            ("news_ms", &self.age),
            ("news_from", &self.source),
        ]
    }
}
