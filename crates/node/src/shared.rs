//! Dependencies shared by the components of a node that send requests to upstreams.

use std::sync::Arc;

use firweir::connection::open_connections::OpenConnections;
use firweir::process::clock::Clock;
use firweir::process::log::Journal;
use firweir_policy::work::ReportedLoad;

use crate::connection_pool::ConnectionPool;
use crate::dialect::Dialect;
use crate::duty::BootClock;
use crate::failed_requests::FailedRequests;
use crate::fleet::Fleet;
use crate::interest::Interest;
use crate::mechanisms::EnabledMechanisms;
use crate::mechanisms::Mechanism;
use crate::model::Upstream;
use crate::reload::CurrentSettings;
use crate::shutdown::Shutdown;
use crate::usage::counter::UsageCounter;

/// Shared dependencies; cheap to clone.
#[derive(Debug, Clone)]
pub struct Shared {
    /// This node's view of the platform.
    pub fleet: Arc<Fleet>,
    /// Upstreams that this node subscribes to.
    pub interest: Arc<Interest>,
    /// Encodes and decodes messages.
    pub dialect: Arc<dyn Dialect>,
    /// Connection pool.
    pub connections: ConnectionPool,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// The clock that counts suspended time.
    pub boot_clock: Arc<dyn BootClock>,
    /// Settings in force.
    pub settings: CurrentSettings,
    /// Connections of clients, whose requests share memory.
    pub request_memory: OpenConnections,
    /// Events and metrics.
    pub journal: Journal,
    /// Counts requests of accounts.
    pub usage_counter: UsageCounter,
    /// Failed runs of requests and items on all nodes.
    pub failed_requests: FailedRequests,
    /// The shutdown of this process.
    pub shutdown: Shutdown,
    /// Mechanisms that are switched on.
    pub mechanisms: EnabledMechanisms,
}

impl Shared {
    /// Whether an upstream whose connection broke has crashed: no process listens there any more. A
    /// full upstream resets connections as well.
    pub(crate) async fn has_crashed(&self, upstream: &Upstream) -> bool {
        !self.connections.is_listening(upstream.address).await
    }

    /// The load that an upstream reported, without `time_percent` if [`Mechanism::ToldSpeed`] is
    /// off. `None` if it reported none.
    #[must_use]
    pub fn usable_load(&self, load: Option<ReportedLoad>) -> Option<ReportedLoad> {
        let mut load = load?;
        if !self.mechanisms.is_enabled(Mechanism::ToldSpeed) {
            load.time_percent = None;
        }
        Some(load)
    }
}
