//! Client accounts and their API keys.

use std::fmt::Debug;
use std::fmt::Formatter;

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// API key as a client sent it. It is only compared, then dropped: it never reaches a log, a
/// metric, an error or an upstream.
#[derive(Clone, PartialEq, Eq)]
pub struct ApiKey(Box<[u8]>);

impl ApiKey {
    /// Creates a key of these bytes.
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

/// SHA-256 of a key; nodes store this instead of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct KeyDigest([u8; 32]);

/// Index of an account in [`Accounts::names`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AccountIndex(u32);

/// An account as the operator declares it.
#[derive(Debug)]
pub struct DeclaredAccount {
    /// Its name.
    pub name: String,
    /// Its API keys.
    pub keys: Vec<ApiKey>,
    /// Priority of its calls, which overrides that of their route; 0 is the highest. `None` if
    /// the route's priority applies.
    pub priority: Option<u32>,
}

/// The accounts of a configuration and their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Accounts {
    /// Whether the operator lists accounts, even if the list is empty.
    are_declared: bool,
    names: Vec<String>,
    /// Sorted by digest.
    keys: Vec<(KeyDigest, AccountIndex)>,
    /// Priorities of the accounts that have one, sorted by account name.
    priorities: Vec<(String, u32)>,
}

impl Accounts {
    /// Creates the accounts that an operator declares. A key of several accounts is ignored.
    #[must_use]
    pub fn new(declared: Vec<DeclaredAccount>) -> Self {
        let mut names = Vec::with_capacity(declared.len());
        let mut keys = Vec::new();
        let mut priorities = Vec::new();
        for (position, account) in declared.into_iter().enumerate() {
            let index = AccountIndex(position as u32);
            keys.extend(account.keys.iter().map(|key| (key.digest(), index)));
            if let Some(priority) = account.priority {
                priorities.push((account.name.clone(), priority));
            }
            names.push(account.name);
        }
        priorities.sort();
        keys.sort_by_key(|(digest, index)| (*digest, index.0));
        keys.dedup();
        let ambiguous: Vec<KeyDigest> = keys
            .windows(2)
            .filter(|pair| pair[0].0 == pair[1].0)
            .map(|pair| pair[0].0)
            .collect();
        keys.retain(|(digest, _)| ambiguous.binary_search(digest).is_err());
        Self {
            are_declared: true,
            names,
            keys,
            priorities,
        }
    }

    /// Whether the operator declares accounts; if not, no call needs a key. An empty list declares
    /// that no key is valid.
    #[must_use]
    pub const fn are_declared(&self) -> bool {
        self.are_declared
    }

    /// Whether there is no account.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Priority of the calls of an account; 0 is the highest. `None` if the account has none.
    #[must_use]
    pub fn priority_of(&self, name: &str) -> Option<u32> {
        let found = self
            .priorities
            .binary_search_by(|(account, _)| account.as_str().cmp(name));
        found.ok().map(|index| self.priorities[index].1)
    }

    /// Whether any account has a priority.
    #[must_use]
    pub const fn has_priorities(&self) -> bool {
        !self.priorities.is_empty()
    }

    /// Name of the account that has this key. The duration of the search reveals at most the
    /// position of a guess's digest; the digests themselves are compared in constant time.
    #[must_use]
    pub fn find_by_key(&self, key: &ApiKey) -> Option<&str> {
        let digest = key.digest();
        let index = self.keys.partition_point(|(known, _)| *known < digest);
        let (known, account) = self.keys.get(index)?;
        let is_same: bool = known.0.ct_eq(&digest.0).into();
        is_same.then(|| self.names[account.0 as usize].as_str())
    }
}
