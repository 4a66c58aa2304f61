//! The stewards that watch the platform for the others.
//!
//! Each call of the object API counts, a waiting watch as one. So that they do
//! not grow with the fleet, two VMs of each zone make them, the first of the
//! zone's live ones in an order that all find alike; the rest learn by exchange.
//! When one dies, the next takes over as soon as it knows of the death.

use std::rc::Rc;
use std::time::Duration;

use crate::connection::object::Etag;
use crate::connection::object::ObjectError;
use crate::process::steward::CONFIG_KEY;
use crate::process::steward::Steward;
use crate::version::folder::Head;

/// Watchers of each zone: a second one, so that a death leaves no gap.
const WATCHERS_PER_ZONE: usize = 2;

/// Time between reads of the VM list.
const VM_LIST_EVERY: Duration = Duration::from_secs(1);

/// A watch on the configuration head waits this long at the object API.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Pause after a failed call of the object API, and between looks whether this
/// VM has become a watcher.
const PAUSE: Duration = Duration::from_millis(500);

impl Steward {
    fn is_watcher(&self) -> bool {
        self.state.borrow().membership.rank_in_zone() < WATCHERS_PER_ZONE
    }

    pub(in crate::process) async fn watch_config(self: Rc<Self>) {
        let mut known: Option<Etag> = None;
        loop {
            // A fresh steward reads once, whoever watches.
            if self.is_ready() && !self.is_watcher() {
                known = None;
                tokio::time::sleep(PAUSE).await;
                continue;
            }
            let watched = match &known {
                None => self.api.read::<Head>(CONFIG_KEY).await,
                Some(etag) => self.api.watch(CONFIG_KEY, Some(etag), WATCH_WAIT).await,
            };
            match watched {
                Ok(Some(head)) => {
                    known = Some(head.etag);
                    self.take_agreed_head(Some(head.value));
                }
                Ok(None) if known.is_some() => {}
                Ok(None) => {
                    self.take_agreed_head(None);
                    tokio::time::sleep(PAUSE).await;
                }
                Err(error) => {
                    self.note_api_failure(&error);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }

    pub(in crate::process) async fn read_vm_list(self: Rc<Self>) {
        let mut read = false;
        loop {
            if !read || self.is_watcher() {
                match self.api.vm_list().await {
                    Ok(vms) => {
                        read = true;
                        let mut state = self.state.borrow_mut();
                        let sends = state.sends();
                        let changed = state.upstreams.read(&vms.upstreams, sends);
                        state.listed = vms.entries;
                        drop(state);
                        if changed {
                            self.note_change();
                        }
                    }
                    Err(error) => self.note_api_failure(&error),
                }
            }
            tokio::time::sleep(VM_LIST_EVERY).await;
        }
    }

    fn note_api_failure(&self, error: &ObjectError) {
        self.parts.journal.count("steward.object_api_failed");
        self.parts
            .journal
            .event("object_api_failed", &[("error", error)]);
    }
}
