//! Authenticates calls by API key, and denies them if the configuration may be too old for that.
//!
//! When a key is revoked, a node that does not learn of it would go on serving its holders: the
//! node may be cut off or suspended, or the store may hide changes from its watches. Each node
//! therefore knows at what time its configuration was confirmed to be the newest, on a clock that
//! runs on while the VM is suspended. A call with a key is accepted only while that time is
//! recent enough; otherwise it is refused as not run, and the client retries on another node. A
//! call that was sent before that time stays accepted, however long it waits afterwards.

use std::time::Duration;

use crate::account::ApiKey;
use crate::model::Config;

/// Fraction of the revocation time up to which a configuration is recent enough to serve keys.
/// The rest allows for a store that drops its history: it hides changes from its watches for a
/// second before that.
const REVOCATION_AGE_FRACTION: f64 = 0.75;

/// Longest waits for a change of the configuration, as fractions of the time within which it has
/// to take effect, and of the revocation time. At a seed a configuration gets as old as two waits
/// of its watch, and at a node that polls a seed older by one hold of its request. The sum stays
/// below the ages up to which a node may deny a key and serve one.
const WATCH_APPLY_FRACTION: f64 = 0.3;
const HOLD_APPLY_FRACTION: f64 = 0.28;
const WATCH_REVOCATION_FRACTION: f64 = 0.2;
const HOLD_REVOCATION_FRACTION: f64 = 0.18;

/// Largest delay with which a node may learn of a configuration, as a fraction of the revocation time:
/// with the wait of a watch, its configuration stays recent enough to serve keys until it has read the
/// store.
const DELAY_REVOCATION_FRACTION: f64 = 0.6;

/// Longest waits for a change of the configuration if calls need keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigWaitLimits {
    /// Longest wait of a watch of the store.
    pub max_watch: Duration,
    /// Longest time for which a seed holds a request.
    pub max_hold: Duration,
    /// Largest delay with which a node may learn of a change.
    pub max_delay: Duration,
}

impl ConfigWaitLimits {
    /// Limits for the times within which a configuration and a revocation have to take effect.
    #[must_use]
    pub fn new(apply: Duration, revocation: Option<Duration>) -> Self {
        let shortest = |apply_fraction, revocation_fraction| {
            let limit =
                revocation.map_or(Duration::MAX, |limit| limit.mul_f64(revocation_fraction));
            apply.mul_f64(apply_fraction).min(limit)
        };
        Self {
            max_watch: shortest(WATCH_APPLY_FRACTION, WATCH_REVOCATION_FRACTION),
            max_hold: shortest(HOLD_APPLY_FRACTION, HOLD_REVOCATION_FRACTION),
            max_delay: shortest(1.0, DELAY_REVOCATION_FRACTION),
        }
    }
}

/// Largest ages of a node's configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigAgeLimits {
    /// Largest age to deny a key or route that the configuration lacks: later it may have been
    /// added.
    pub max_age_to_deny: Duration,
    /// Largest age to serve a key that the configuration has: later it may have been revoked.
    /// `None` if operators set no limit.
    pub max_age_to_serve: Option<Duration>,
}

impl ConfigAgeLimits {
    /// Limits for the times within which a configuration and a revocation have to take effect.
    #[must_use]
    pub fn new(apply: Duration, revocation: Option<Duration>) -> Self {
        Self {
            max_age_to_deny: apply,
            max_age_to_serve: revocation
                .map(|revocation| revocation.mul_f64(REVOCATION_AGE_FRACTION)),
        }
    }

    /// Whether calls with a key may be served with a configuration of this age.
    #[must_use]
    pub fn may_serve(&self, age: Option<Duration>) -> bool {
        let is_fresh = |limit| age.is_some_and(|age| age <= limit);
        self.max_age_to_serve.is_none_or(is_fresh)
    }
}

/// Why a call is denied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// The call needs a key and has none.
    NoKey,
    /// No account has the key.
    UnknownKey,
    /// This node cannot decide, since its configuration may be too old.
    StaleConfig,
}

/// Purpose of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// To run a request.
    Run,
    /// To read or end a submission of the account. Nothing runs, so a known key is accepted at any
    /// age of the configuration, and a trainer can read on while the store is unavailable.
    Manage,
}

/// The properties of a call that decide on its account.
#[derive(Debug, Clone, Copy)]
pub struct AccessRequest<'a> {
    /// The key that the client sent.
    pub key: Option<&'a ApiKey>,
    /// Whether the call needs no key.
    pub is_public: bool,
    /// Purpose of the call.
    pub purpose: Purpose,
}

/// Name of the account that a call is for; `None` if it is anonymous.
///
/// # Errors
///
/// The call is denied.
pub fn authenticate<'a>(
    config: &'a Config,
    access: AccessRequest<'_>,
    age: Option<Duration>,
    limits: &ConfigAgeLimits,
) -> Result<Option<&'a str>, Denied> {
    if !config.accounts.are_declared() {
        return Ok(None);
    }
    let account = access.key.and_then(|key| config.accounts.find_by_key(key));
    match (account, access.key) {
        (None, _) if access.is_public => Ok(None),
        (Some(_), _) if access.purpose == Purpose::Run && !limits.may_serve(age) => {
            Err(Denied::StaleConfig)
        }
        (Some(account), _) => Ok(Some(account)),
        (None, _) if age.is_none_or(|age| age > limits.max_age_to_deny) => Err(Denied::StaleConfig),
        (None, None) => Err(Denied::NoKey),
        (None, Some(_)) => Err(Denied::UnknownKey),
    }
}
