//! The gates of all services: where requests of one sort wait for their upstream.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use firweir::process::clock::Clock;
use firweir::request::gate::Gate;
use firweir::request::gate::GateUpstream;
use firweir_policy::dispatch::Dispatcher;
use firweir_policy::work::EntryDemands;

use crate::fleet::Fleet;
use crate::model::Upstream;

#[derive(Debug)]
struct NamedGate {
    service: String,
    gate: Arc<Gate>,
}

/// One gate for each service, all with the same sort of dispatcher.
#[derive(Debug)]
pub struct Gates {
    clock: Arc<dyn Clock>,
    zone: String,
    dispatcher: fn() -> Box<dyn Dispatcher>,
    /// Seed for random jitter, which differs by node; `None` if calls are not limited by the
    /// estimated free capacity of shared upstreams.
    shared_seed: Option<u64>,
    /// Sorted by service.
    named: Mutex<Vec<NamedGate>>,
}

impl Gates {
    /// No gates yet, on a node in this availability zone.
    #[must_use]
    pub fn new(
        clock: Arc<dyn Clock>,
        zone: String,
        dispatcher: fn() -> Box<dyn Dispatcher>,
    ) -> Self {
        Self {
            clock,
            zone,
            dispatcher,
            shared_seed: None,
            named: Mutex::default(),
        }
    }

    /// Limits calls by the estimated free capacity of upstreams where the configuration says that
    /// these are shared. The seed sets random jitter and has to differ by node.
    #[must_use]
    pub fn with_shared_seed(self, seed: u64) -> Self {
        Self {
            shared_seed: Some(seed),
            ..self
        }
    }

    /// Brings the gates up to what the fleet knows. No call waits at a gate of engines that
    /// serve rollouts only, and there are thousands of them.
    pub fn update_upstreams(&self, fleet: &Fleet) {
        let (config, upstreams) = (fleet.config(), fleet.upstreams());
        for service in &config.services {
            if !config.has_call_route(&service.name) {
                continue;
            }
            let gate = self.get_or_create(&service.name);
            let of_service = || upstreams.iter().filter(|held| held.service == service.name);
            let limit = of_service().map(|held| held.slots).max().unwrap_or(1);
            let listed: Vec<_> = of_service().map(|held| self.listed(held)).collect();
            gate.set_upstreams(&listed, limit, &EntryDemands::SINGLE_ENTRY);
            gate.set_shared(self.shared_seed.filter(|_| config.shares_services()));
        }
    }

    /// Lets time-bound decisions happen.
    pub fn tick(&self) {
        for named in self.lock().iter() {
            named.gate.tick();
        }
    }

    /// The gate of a service.
    pub fn get_or_create(&self, service: &str) -> Arc<Gate> {
        let mut gates = self.lock();
        match gates.binary_search_by(|named| named.service.as_str().cmp(service)) {
            Ok(at) => Arc::clone(&gates[at].gate),
            Err(at) => {
                let gate = Gate::new(Arc::clone(&self.clock), (self.dispatcher)());
                let named = NamedGate {
                    service: service.to_owned(),
                    gate: Arc::clone(&gate),
                };
                gates.insert(at, named);
                gate
            }
        }
    }

    fn listed(&self, upstream: &Upstream) -> GateUpstream {
        GateUpstream {
            address: upstream.address,
            start: upstream.instance.born_ms,
            local_zone: upstream.zone == self.zone,
            leaving: upstream.leaving,
        }
    }

    /// A panic in a decision leaves the others usable.
    fn lock(&self) -> MutexGuard<'_, Vec<NamedGate>> {
        self.named.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
