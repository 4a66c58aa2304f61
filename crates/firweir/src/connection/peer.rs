//! Cap'n Proto connections between firweir's own processes.
//!
//! `capnp-rpc` is not `Send`: everything here runs on one thread's `LocalSet`.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;

use capnp::capability::Client as AnyClient;
use capnp::capability::FromClientHook;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures_util::AsyncReadExt;
use futures_util::future::LocalBoxFuture;
use tokio_util::compat::TokioAsyncReadCompatExt;

use crate::connection::client::CONNECT_TIMEOUT;
use crate::connection::client::within;
use crate::connection::net::BoxConn;
use crate::connection::net::SharedNet;
use crate::connection::server::ACCEPT_PAUSE;
use crate::process::run::Parts;
use crate::process::tasks::Tasks;

/// A message above this many words is refused: 8 MiB, twice the largest view.
const TRAVERSAL_LIMIT_WORDS: usize = 1 << 20;

fn vat_network(conn: BoxConn, side: Side) -> VatNetwork<impl futures_util::AsyncRead + Unpin> {
    let (reader, writer) = conn.compat().split();
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(TRAVERSAL_LIMIT_WORDS));
    VatNetwork::new(reader, writer, side, options)
}

/// Serves a capability to everyone who connects; ends with the process.
pub async fn serve(
    net: &SharedNet,
    tasks: &Tasks,
    at: SocketAddr,
    bootstrap: AnyClient,
) -> std::io::Result<(SocketAddr, LocalBoxFuture<'static, ()>)> {
    let mut listener = net.listen(at).await?;
    let address = listener.local_address()?;
    let tasks = tasks.clone();
    let serving = async move {
        loop {
            let Ok((conn, _from)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let network = vat_network(conn, Side::Server);
            let system = RpcSystem::new(Box::new(network), Some(bootstrap.clone()));
            tasks.spawn_local(async move { drop(system.await) });
        }
    };
    Ok((address, Box::pin(serving)))
}

/// Opens a connection and gives the other side's capability.
pub async fn connect<C: FromClientHook>(
    net: &SharedNet,
    tasks: &Tasks,
    to: SocketAddr,
) -> Result<C, capnp::Error> {
    let disconnected = |reason: &str| capnp::Error::disconnected(reason.to_owned());
    let conn = within(CONNECT_TIMEOUT, net.connect(to))
        .await
        .ok_or_else(|| disconnected("connect timeout"))?
        .map_err(|error| disconnected(&error.to_string()))?;
    let mut system = RpcSystem::new(Box::new(vat_network(conn, Side::Client)), None);
    let client = system.bootstrap(Side::Server);
    tasks.spawn_local(async move { drop(system.await) });
    Ok(client)
}

/// Connections to peers, opened on first use and dropped on failure.
pub struct Peers<C> {
    net: SharedNet,
    tasks: Tasks,
    open: RefCell<Vec<(SocketAddr, C)>>,
}

impl<C> std::fmt::Debug for Peers<C> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let open = self.open.borrow().len();
        formatter
            .debug_struct("Peers")
            .field("open", &open)
            .finish_non_exhaustive()
    }
}

impl<C: FromClientHook + Clone> Peers<C> {
    /// No connection yet.
    #[must_use]
    pub fn new(parts: &Parts) -> Self {
        Self {
            net: Arc::clone(&parts.net),
            tasks: parts.tasks.clone(),
            open: RefCell::new(Vec::new()),
        }
    }

    /// The peer's capability, over the connection that is open if there is one.
    pub async fn get(&self, to: SocketAddr) -> Result<C, capnp::Error> {
        if let Ok(position) = self.position(to) {
            return Ok(self.open.borrow()[position].1.clone());
        }
        let client: C = connect(&self.net, &self.tasks, to).await?;
        if let Err(position) = self.position(to) {
            self.open
                .borrow_mut()
                .insert(position, (to, client.clone()));
        }
        Ok(client)
    }

    /// Drops the connection, so that the next use opens a new one.
    pub fn forget(&self, to: SocketAddr) {
        if let Ok(position) = self.position(to) {
            self.open.borrow_mut().remove(position);
        }
    }

    fn position(&self, to: SocketAddr) -> Result<usize, usize> {
        self.open
            .borrow()
            .binary_search_by_key(&to, |(address, _)| *address)
    }
}
