//! The vault program: keeps the bodies of sealed lots on its VM's disk, so that
//! they outlive the holder that drafted them.
//!
//! It decides nothing. A lot is named by its digest, parts are repeated at will,
//! and a paused holder that comes late can add bytes that no record names, but
//! not change or remove any that one does.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;

use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;

use crate::connection::peer;
use crate::process::lot_store::LotStore;
use crate::process::lot_store::StoreError;
use crate::process::run::Parts;
use crate::process::storage::Storage;
use crate::request::record::LotKey;
use crate::wire::firweir_capnp::VaultOutcome;
use crate::wire::firweir_capnp::lot_key;
use crate::wire::firweir_capnp::vault;

quick_error! {
    /// Why a vault does not start.
    #[derive(Debug)]
    pub enum VaultError {
        /// The settings do not make this VM a vault's.
        NotConfigured {
            display("settings: vault_listen and data_folder are needed for a vault")
        }
        /// The data folder cannot be used, or the address not listened at.
        Io(err: io::Error) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Starts a vault over this storage; the future serves until the process ends.
///
/// # Errors
///
/// The settings name no address for a vault, the storage cannot be listed, or
/// the address cannot be listened at.
pub async fn start(
    parts: Parts,
    storage: Rc<dyn Storage>,
) -> Result<LocalBoxFuture<'static, ()>, VaultError> {
    let at = parts
        .settings
        .vault_listen
        .ok_or(VaultError::NotConfigured)?;
    let (store, cuts) = LotStore::open(storage, parts.settings.vault_limit_bytes)?;
    for cut in &cuts {
        parts.journal.event(
            "vault_tail_cut",
            &[("file", &cut.name), ("cut_bytes", &cut.cut_bytes)],
        );
    }
    let (lots, used_bytes) = (store.whole_lots(), store.used_bytes());
    let service = Service {
        parts: parts.clone(),
        store: RefCell::new(store),
    };
    let client: vault::Client = capnp_rpc::new_client(service);
    let (address, serving) = peer::serve(&parts.net, &parts.tasks, at, client.client).await?;
    parts.journal.event(
        "vault_started",
        &[
            ("address", &address),
            ("lots", &lots),
            ("used_bytes", &used_bytes),
        ],
    );
    Ok(serving)
}

struct Service {
    parts: Parts,
    store: RefCell<LotStore>,
}

impl Service {
    fn outcome_of(&self, key: &LotKey, error: &StoreError) -> VaultOutcome {
        let outcome = match error {
            StoreError::OutOfOrder(_) => return VaultOutcome::OutOfOrder,
            StoreError::Missing => return VaultOutcome::Missing,
            StoreError::Damaged => VaultOutcome::Damaged,
            StoreError::Full => VaultOutcome::Full,
            StoreError::Read(_) => VaultOutcome::ReadFailed,
            StoreError::Write(_) => VaultOutcome::WriteFailed,
        };
        self.parts.journal.event(
            "vault_failed",
            &[("feed", &key.feed), ("step", &key.step), ("error", error)],
        );
        outcome
    }
}

impl vault::Server for Service {
    async fn append(
        self: Rc<Self>,
        params: vault::AppendParams,
        mut results: vault::AppendResults,
    ) -> Result<(), capnp::Error> {
        let part = params.get()?.get_part()?;
        let key = read_key(part.get_key()?)?;
        let mut store = self.store.borrow_mut();
        store.drop_below(&key.feed, part.get_floor_step());
        let appended = store.append(&key, part.get_part(), part.get_parts(), part.get_data()?);
        let (outcome, held) = match &appended {
            Ok(held) => (VaultOutcome::Done, *held),
            Err(StoreError::OutOfOrder(held)) => (VaultOutcome::OutOfOrder, *held),
            Err(error) => (self.outcome_of(&key, error), 0),
        };
        results.get().set_outcome(outcome);
        results.get().set_held(held);
        Ok(())
    }

    async fn read(
        self: Rc<Self>,
        params: vault::ReadParams,
        mut results: vault::ReadResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let key = read_key(params.get_key()?)?;
        match self.store.borrow().read(&key, params.get_part()) {
            Ok((parts, data)) => {
                results.get().set_outcome(VaultOutcome::Done);
                results.get().set_parts(parts);
                results.get().set_data(&data);
            }
            Err(error) => results.get().set_outcome(self.outcome_of(&key, &error)),
        }
        Ok(())
    }
}

/// Reads a key from a message.
fn read_key(reader: lot_key::Reader<'_>) -> Result<LotKey, capnp::Error> {
    Ok(LotKey {
        feed: reader.get_feed()?.to_str()?.to_owned(),
        step: reader.get_step(),
        generation: reader.get_generation(),
        digest: reader.get_digest()?.to_str()?.to_owned(),
    })
}

/// Writes a key into a message.
pub(crate) fn write_key(key: &LotKey, mut builder: lot_key::Builder<'_>) {
    builder.set_feed(&key.feed);
    builder.set_step(key.step);
    builder.set_generation(key.generation);
    builder.set_digest(&key.digest);
}
