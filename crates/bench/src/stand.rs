//! What all stand-ins share.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use firweir::connection::net::SharedNet;
use firweir::connection::server;
use firweir::connection::server::BoxHandler;
use firweir::process::clock::Clock;
use firweir::process::tasks::Tasks;

/// What a stand-in is built from.
#[derive(Debug, Clone)]
pub struct Ground {
    /// Transport.
    pub net: SharedNet,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Tasks, to be ended when the stand-in crashes.
    pub tasks: Tasks,
    /// Seed of its random source.
    pub seed: u64,
}

impl Ground {
    /// The same ground with tasks of its own.
    #[must_use]
    pub fn with_own_tasks(&self) -> Self {
        Self {
            tasks: Tasks::new(),
            ..self.clone()
        }
    }

    /// Serves HTTP until the tasks end.
    ///
    /// # Errors
    ///
    /// The address cannot be listened at.
    pub async fn serve(&self, at: SocketAddr, handler: BoxHandler) -> io::Result<SocketAddr> {
        let (address, serving) =
            server::serve(&self.net, &self.tasks, at, Duration::ZERO, handler).await?;
        self.tasks.spawn(serving);
        Ok(address)
    }
}

/// Locks state that a panicking task may have left behind.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The value of a query parameter.
#[must_use]
pub fn query<'a>(query: Option<&'a str>, key: &str) -> Option<&'a str> {
    let pairs = query?.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(name, _)| *name == key)
        .map(|(_, value)| value)
}
