//! Counts of requests by window and account.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Number of windows that are kept; older ones can no longer be reported.
const MAX_WINDOWS: usize = 64;

/// Number of a window: number of windows of the same length between 1970 and its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Window(pub u64);

impl Window {
    /// The window that contains a time since 1970.
    #[must_use]
    pub fn of(since_epoch: Duration, length: Duration) -> Self {
        Self((since_epoch.as_millis() / length.as_millis().max(1)) as u64)
    }

    /// End of the window, since 1970.
    #[must_use]
    pub fn end(self, length: Duration) -> Duration {
        Duration::from_millis((self.0 + 1) * length.as_millis() as u64)
    }

    /// The window after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Requests of one account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountCount {
    /// Name of the account.
    pub account: String,
    /// Number of its requests that an upstream started.
    pub requests: u64,
}

/// Requests of one window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// The window.
    pub window: Window,
    /// Sorted by account.
    pub counts: Vec<AccountCount>,
}

/// Requests by window and account. Counts only grow.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Sorted by window.
    windows: Vec<WindowCounts>,
}

impl Tally {
    /// Counts a request of an account.
    pub fn count(&mut self, window: Window, account: &str) {
        let counts = self.counts_mut(window);
        *requests_mut(counts, account) += 1;
        let excess = self.windows.len().saturating_sub(MAX_WINDOWS);
        self.windows.drain(..excess);
    }

    /// Merges another state of the same counts, which may be older than this one.
    pub fn merge(&mut self, other: &Self) {
        for counted in &other.windows {
            let counts = self.counts_mut(counted.window);
            for count in &counted.counts {
                let requests = requests_mut(counts, &count.account);
                *requests = count.requests.max(*requests);
            }
        }
    }

    /// Adds the counts of one window to `sum`, which is sorted by account.
    pub fn add_to(&self, window: Window, sum: &mut Vec<AccountCount>) {
        let found = self
            .windows
            .binary_search_by_key(&window, |counted| counted.window);
        let Ok(at) = found else {
            return;
        };
        for count in &self.windows[at].counts {
            *requests_mut(sum, &count.account) += count.requests;
        }
    }

    /// Removes the windows up to and including this one.
    pub fn forget_through(&mut self, window: Window) {
        self.windows.retain(|counted| counted.window > window);
    }

    /// The first window with a count; `None` if there is none.
    #[must_use]
    pub fn first_window(&self) -> Option<Window> {
        self.windows.first().map(|counted| counted.window)
    }

    fn counts_mut(&mut self, window: Window) -> &mut Vec<AccountCount> {
        let found = self
            .windows
            .binary_search_by_key(&window, |counted| counted.window);
        let at = found.unwrap_or_else(|at| {
            let counts = Vec::new();
            self.windows.insert(at, WindowCounts { window, counts });
            at
        });
        &mut self.windows[at].counts
    }
}

fn requests_mut<'a>(counts: &'a mut Vec<AccountCount>, account: &str) -> &'a mut u64 {
    let found = counts.binary_search_by(|count| count.account.as_str().cmp(account));
    let at = found.unwrap_or_else(|at| {
        let account = account.to_owned();
        counts.insert(
            at,
            AccountCount {
                account,
                requests: 0,
            },
        );
        at
    });
    &mut counts[at].requests
}
