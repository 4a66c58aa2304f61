//! Who a call is for, and whether this node knows enough to say so.
//!
//! **Failure:** a key is taken away, and a node that has not heard of it goes on serving
//! whoever has the key: it is cut off, was suspended, or watches a store that shows it
//! nothing. **Guard:** each node knows up to when its configuration is the store's newest, on
//! a clock that counts a suspended VM's time. A call that names an account by its key is let
//! in only while that is young enough; else it is refused as not run, and the client comes
//! back to another node. A call that was sent before the look is covered by it, however long
//! it waits afterwards.

use std::time::Duration;

use crate::account::ApiKey;
use crate::model::Config;

/// Part of the time within which a key that was taken away may still be served up to
/// which a configuration counts as young. A store that drops its history hides changes from
/// its watches for a second before that; the rest is for it.
const REVOCATION_PART: f64 = 0.75;

/// How often the configuration is asked for, as parts of the time within which it has to be in
/// force, and of that within which a key may still be served. At a seed it gets two waits of its
/// watch old, and at a node that asks a seed older by one hold of its question: together
/// that stays below the time in which a node may deny a key, and serve one.
const WATCH_OF_APPLY: f64 = 0.3;
const HOLD_OF_APPLY: f64 = 0.28;
const WATCH_OF_REVOCATION: f64 = 0.2;
const HOLD_OF_REVOCATION: f64 = 0.18;

/// How often a node has to hear of its configuration where calls need keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigWaitLimits {
    /// Longest wait of a watch of the store.
    pub max_watch: Duration,
    /// Longest time for which a seed holds a question.
    pub max_hold: Duration,
}

impl ConfigWaitLimits {
    /// Limits for the times that an operator sets.
    #[must_use]
    pub fn new(apply: Duration, revocation: Option<Duration>) -> Self {
        let part = |of_apply, of_revocation| {
            let most = revocation.map_or(Duration::MAX, |most| most.mul_f64(of_revocation));
            apply.mul_f64(of_apply).min(most)
        };
        Self {
            max_watch: part(WATCH_OF_APPLY, WATCH_OF_REVOCATION),
            max_hold: part(HOLD_OF_APPLY, HOLD_OF_REVOCATION),
        }
    }
}

/// How old a node's configuration may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigAgeLimits {
    /// Past this a key or route that the configuration lacks may have been added.
    pub max_age_to_deny: Duration,
    /// Past this a key that it has may have been taken away; `None` where operators take
    /// that into account.
    pub max_age_to_serve: Option<Duration>,
}

impl ConfigAgeLimits {
    /// Limits for the times that an operator sets.
    #[must_use]
    pub fn new(apply: Duration, revocation: Option<Duration>) -> Self {
        Self {
            max_age_to_deny: apply,
            max_age_to_serve: revocation.map(|revocation| revocation.mul_f64(REVOCATION_PART)),
        }
    }

    /// Whether calls with a key may be served by a configuration of this age.
    #[must_use]
    pub fn may_serve(&self, age: Option<Duration>) -> bool {
        let is_young = |limit| age.is_some_and(|age| age <= limit);
        self.max_age_to_serve.is_none_or(is_young)
    }
}

/// Why a call is not let in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// It needs a key and has none.
    NoKey,
    /// No account has its key.
    UnknownKey,
    /// This node cannot tell: its configuration may be too old.
    StaleConfig,
}

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Something is to run.
    Run,
    /// What an account has submitted is to be read or ended: it runs nothing, so that a
    /// trainer reads on while the store is away.
    Manage,
}

/// A call as far as its account goes.
#[derive(Debug, Clone, Copy)]
pub struct AccessRequest<'a> {
    /// The key that came with it.
    pub key: Option<&'a ApiKey>,
    /// It needs none.
    pub is_public: bool,
    /// What is asked for.
    pub purpose: Purpose,
}

/// Name of the account that a call is for; `None` if it is for nobody in particular.
///
/// # Errors
///
/// It is not let in.
pub fn authenticate<'a>(
    config: &'a Config,
    access: AccessRequest<'_>,
    age: Option<Duration>,
    limits: &ConfigAgeLimits,
) -> Result<Option<&'a str>, Denied> {
    if config.accounts.is_empty() {
        return Ok(None);
    }
    let holder = access.key.and_then(|key| config.accounts.find_by_key(key));
    match (holder, access.key) {
        (None, _) if access.is_public => Ok(None),
        (Some(_), _) if access.purpose == Purpose::Run && !limits.may_serve(age) => {
            Err(Denied::StaleConfig)
        }
        (Some(holder), _) => Ok(Some(holder)),
        (None, _) if age.is_none_or(|age| age > limits.max_age_to_deny) => Err(Denied::StaleConfig),
        (None, None) => Err(Denied::NoKey),
        (None, Some(_)) => Err(Denied::UnknownKey),
    }
}
