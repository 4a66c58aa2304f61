//! Client accounts and the keys that name them.

use std::fmt::Debug;
use std::fmt::Formatter;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// A key as a client sent it. It is compared and dropped: no log, metric, error or
/// upstream gets it.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// The key that these bytes spell.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(key.into())
    }

    fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(&self.0).into())
    }
}

impl Debug for ApiKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// SHA-256 of a key: what a node keeps of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KeyDigest([u8; 32]);

/// Place of an account in [`Accounts`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AccountKey(u32);

/// One account as the operator declares it.
#[derive(Debug)]
pub struct DeclaredAccount {
    /// Its name.
    pub name: String,
    /// Keys that name it.
    pub keys: Vec<ApiKey>,
    /// Priority of its calls, which overrides that of their route; 0 is the highest. `None` if
    /// the route's priority applies.
    pub priority: Option<u32>,
}

/// The accounts of a configuration, and whose key is which.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Accounts {
    names: Vec<String>,
    /// Sorted by digest.
    keys: Vec<(KeyDigest, AccountKey)>,
    /// Priorities of the accounts that have one, sorted by account name.
    priorities: Vec<(String, u32)>,
}

impl Accounts {
    /// The accounts that an operator declares. A key that two of them have names none.
    #[must_use]
    pub fn new(declared: Vec<DeclaredAccount>) -> Self {
        let mut names = Vec::with_capacity(declared.len());
        let mut keys = Vec::new();
        let mut priorities = Vec::new();
        for (at, account) in declared.into_iter().enumerate() {
            let place = AccountKey(at as u32);
            keys.extend(account.keys.iter().map(|key| (key.digest(), place)));
            if let Some(priority) = account.priority {
                priorities.push((account.name.clone(), priority));
            }
            names.push(account.name);
        }
        priorities.sort();
        keys.sort_by_key(|(digest, place)| (*digest, place.0));
        keys.dedup();
        let shared: Vec<KeyDigest> = keys
            .windows(2)
            .filter(|pair| pair[0].0 == pair[1].0)
            .map(|pair| pair[0].0)
            .collect();
        keys.retain(|(digest, _)| shared.binary_search(digest).is_err());
        Self {
            names,
            keys,
            priorities,
        }
    }

    /// No account is declared: no call needs a key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// How many accounts there are.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.names.len()
    }

    /// Priority of the calls of an account; 0 is the highest. `None` if the account has none.
    #[must_use]
    pub fn priority_of(&self, name: &str) -> Option<u32> {
        let at = self
            .priorities
            .binary_search_by(|(held, _)| held.as_str().cmp(name));
        at.ok().map(|at| self.priorities[at].1)
    }

    /// Whether any account has a priority.
    #[must_use]
    pub const fn has_priorities(&self) -> bool {
        !self.priorities.is_empty()
    }

    /// Name of the account that a key names. The search tells by its time at most where
    /// the digest of a guess lies; the digest itself is compared in constant time.
    #[must_use]
    pub fn find_by_key(&self, key: &ApiKey) -> Option<&str> {
        let digest = key.digest();
        let at = self.keys.partition_point(|(held, _)| *held < digest);
        let (held, account) = self.keys.get(at)?;
        let is_same: bool = held.0.ct_eq(&digest.0).into();
        is_same.then(|| self.names[account.0 as usize].as_str())
    }
}
