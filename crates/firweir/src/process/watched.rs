//! A value that tasks wait on, woken in the order in which they began to wait.
//!
//! `tokio::sync::watch` spreads its waiters at random, so that two replays of one
//! trace could go different ways wherever two tasks waited on one value.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::Notify;

/// The side that sets the value; cheap to clone.
#[derive(Debug, Clone)]
pub struct Watched<T> {
    shared: Arc<Shared<T>>,
}

#[derive(Debug)]
struct Shared<T> {
    current: Mutex<Current<T>>,
    changed: Notify,
}

#[derive(Debug, Clone, Copy)]
struct Current<T> {
    value: T,
    version: u64,
}

/// The side that waits.
#[derive(Debug)]
pub struct Watcher<T> {
    shared: Arc<Shared<T>>,
    seen: u64,
}

impl<T: Copy> Watched<T> {
    /// A value that no one waits on yet.
    #[must_use]
    pub fn new(value: T) -> Self {
        let current = Mutex::new(Current { value, version: 0 });
        let changed = Notify::new();
        Self {
            shared: Arc::new(Shared { current, changed }),
        }
    }

    /// The value now.
    #[must_use]
    pub fn get(&self) -> T {
        self.shared.lock().value
    }

    /// Sets the value and wakes all who wait.
    pub fn set(&self, value: T) {
        self.modify(|held| *held = value);
    }

    /// Changes the value and wakes all who wait.
    pub fn modify(&self, change: impl FnOnce(&mut T)) {
        let mut current = self.shared.lock();
        change(&mut current.value);
        current.version += 1;
        drop(current);
        self.shared.changed.notify_waiters();
    }

    /// Waits on changes from now on.
    #[must_use]
    pub fn watch(&self) -> Watcher<T> {
        Watcher {
            seen: self.shared.lock().version,
            shared: Arc::clone(&self.shared),
        }
    }
}

impl<T: Copy> Watcher<T> {
    /// Waits for a change after the last one that this watcher saw.
    pub async fn changed(&mut self) {
        let seen = self.seen;
        self.seen = self.wait(|current| current.version != seen).await;
    }

    /// Waits until the value is as asked; at once if it is.
    pub async fn until(&mut self, is_so: impl Fn(T) -> bool) {
        self.seen = self.wait(|current| is_so(current.value)).await;
    }

    async fn wait(&self, is_so: impl Fn(&Current<T>) -> bool) -> u64 {
        loop {
            // Listening begins before the look, so that no change falls between.
            let changed = self.shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let current = *self.shared.lock();
            if is_so(&current) {
                return current.version;
            }
            changed.await;
        }
    }
}

impl<T> Shared<T> {
    fn lock(&self) -> MutexGuard<'_, Current<T>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
