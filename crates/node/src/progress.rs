//! Admission rules, tries and waiting time of one live call.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use crate::mechanisms::Mechanism;
use crate::model::Route;
use crate::shared::Shared;

/// The admission rules that apply to one call, and counters for its log line.
#[derive(Debug, Default)]
pub struct CallProgress {
    /// Whether the call starts only where a shared upstream is likely to have a free slot.
    pub is_shared: bool,
    /// Priority of the call, 0 being the highest; `None` if its service does not order calls by
    /// priority.
    pub priority: Option<u32>,
    /// Time that the call has waited for a free slot, in milliseconds.
    waited_ms: AtomicU64,
    tries: AtomicU32,
}

impl CallProgress {
    /// Takes the rules for a new call from the current configuration.
    pub fn for_call(shared: &Shared, service: &str, account: Option<&str>, route: &Route) -> Self {
        let config = shared.fleet.config();
        let is_shared =
            shared.mechanisms.is_enabled(Mechanism::SharedService) && config.shares_services();
        let has_priorities =
            shared.mechanisms.is_enabled(Mechanism::Priorities) && config.has_priorities(service);
        let by_priority = is_shared && has_priorities;
        Self {
            is_shared,
            priority: by_priority.then(|| config.priority_of(account, route)),
            ..Self::default()
        }
    }

    /// Adds the time that the call waited before a try or a refusal.
    pub fn record_wait(&self, waited: Duration) {
        let waited_ms = waited.as_millis() as u64;
        self.waited_ms.fetch_add(waited_ms, Relaxed);
    }

    /// Whether the call has waited for a free slot.
    pub fn has_waited(&self) -> bool {
        self.waited_ms.load(Relaxed) > 0
    }

    /// Counts a try that was sent to an upstream.
    pub fn record_try(&self) {
        self.tries.fetch_add(1, Relaxed);
    }

    /// Additional fields of the `call` log line, as name and value.
    pub fn fields(&self) -> [(&'static str, String); 3] {
        let priority = self.priority.map(|priority| priority.to_string());
        [
            ("tries", self.tries.load(Relaxed).to_string()),
            ("waited_ms", self.waited_ms.load(Relaxed).to_string()),
            ("priority", priority.unwrap_or_else(|| "none".to_owned())),
        ]
    }
}
