//! Gates of all services, at which requests wait for an upstream.

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

/// One gate for each service, all with the same type of dispatcher.
#[derive(Debug)]
pub struct Gates {
    clock: Arc<dyn Clock>,
    zone: String,
    dispatcher: fn() -> Box<dyn Dispatcher>,
    /// Seed for random jitter, which differs by node; `None` if calls are not limited by the
    /// estimated free capacity of shared upstreams.
    jitter_seed: Option<u64>,
    /// Sorted by service.
    by_service: Mutex<Vec<NamedGate>>,
}

impl Gates {
    /// Creates an empty set of gates for a node in this availability zone.
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
            jitter_seed: None,
            by_service: Mutex::default(),
        }
    }

    /// Limits calls by the estimated free capacity of upstreams where the configuration says that
    /// these are shared. The seed sets random jitter and has to differ by node.
    #[must_use]
    pub fn with_jitter_seed(self, seed: u64) -> Self {
        Self {
            jitter_seed: Some(seed),
            ..self
        }
    }

    /// Updates the upstreams of the gates from the fleet. Services that get no calls are skipped:
    /// engines that serve rollouts only can be thousands, and no call waits for them.
    pub fn update_upstreams(&self, fleet: &Fleet) {
        let (config, upstreams) = (fleet.config(), fleet.upstreams());
        for service in &config.services {
            if !config.has_call_route(&service.name) {
                continue;
            }
            let gate = self.get_or_create(&service.name);
            let of_service = || {
                upstreams
                    .iter()
                    .filter(|upstream| upstream.service == service.name)
            };
            let limit = of_service()
                .map(|upstream| upstream.slots)
                .max()
                .unwrap_or(1);
            let gate_upstreams: Vec<_> = of_service()
                .map(|upstream| self.gate_upstream(upstream))
                .collect();
            gate.set_upstreams(&gate_upstreams, limit, &EntryDemands::SINGLE_ENTRY);
            gate.set_shared(self.jitter_seed.filter(|_| config.shares_services()));
        }
    }

    /// Runs decisions that depend on the time.
    pub fn tick(&self) {
        for named in self.lock().iter() {
            named.gate.tick();
        }
    }

    /// The gate of a service, which is created if it does not exist.
    pub fn get_or_create(&self, service: &str) -> Arc<Gate> {
        let mut gates = self.lock();
        match gates.binary_search_by(|named| named.service.as_str().cmp(service)) {
            Ok(index) => Arc::clone(&gates[index].gate),
            Err(index) => {
                let gate = Gate::new(Arc::clone(&self.clock), (self.dispatcher)());
                let named = NamedGate {
                    service: service.to_owned(),
                    gate: Arc::clone(&gate),
                };
                gates.insert(index, named);
                gate
            }
        }
    }

    fn gate_upstream(&self, upstream: &Upstream) -> GateUpstream {
        GateUpstream {
            address: upstream.address,
            start: upstream.instance.hash(),
            local_zone: upstream.zone == self.zone,
            leaving: upstream.leaving,
        }
    }

    /// Ignores poisoning: a panic in one decision leaves the gates usable.
    fn lock(&self) -> MutexGuard<'_, Vec<NamedGate>> {
        self.by_service
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
