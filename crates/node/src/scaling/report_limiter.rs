//! Limits how often upstreams are asked for the number of their requests.
//!
//! While a reduction is wanted but not possible, the holder would ask all upstreams in each round.
//! The upstreams of a service are therefore asked at most once per boot time.

use std::time::Duration;
use std::time::Instant;

/// Shortest time between two inquiries, for services with a shorter boot time.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// When upstreams were last asked, by service.
#[derive(Debug, Default)]
pub struct ReportLimiter {
    /// Sorted by service.
    last_asked: Vec<(String, Instant)>,
}

impl ReportLimiter {
    /// Whether the upstreams of a service may be asked now. If so, records that they were. `boot`
    /// is their boot time.
    #[must_use]
    pub fn try_acquire(&mut self, service: &str, now: Instant, boot: Duration) -> bool {
        let interval = boot.max(MIN_INTERVAL);
        match self
            .last_asked
            .binary_search_by(|(name, _)| name.as_str().cmp(service))
        {
            Ok(index) if now.duration_since(self.last_asked[index].1) < interval => false,
            Ok(index) => {
                self.last_asked[index].1 = now;
                true
            }
            Err(index) => {
                self.last_asked.insert(index, (service.to_owned(), now));
                true
            }
        }
    }
}
