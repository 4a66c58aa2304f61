//! What a node accepts at each of its addresses.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use firweir::connection::net::BoundedTcpNet;
use firweir::connection::net::SharedNet;
use firweir::connection::server::BoxHandler;
use firweir::connection::server::Endpoint;
use firweir::connection::server::ListenLimits;
use firweir::connection::server::serve_among;
use futures_util::future::BoxFuture;

use crate::node::NodeContext;
use crate::settings::NodeSettings;

/// Buffers of the system for a connection of a client. One whose packets take 3 ms each way sends 10 MB/s
/// and reads 20 MB/s through them.
const CLIENT_BUFFERS: BoundedTcpNet = BoundedTcpNet {
    receive_buffer_bytes: 64 << 10,
    send_buffer_bytes: 128 << 10,
};

/// Buffers of the system for a connection of another node, which may list all upstreams.
const PEER_BUFFERS: BoundedTcpNet = BoundedTcpNet {
    receive_buffer_bytes: 256 << 10,
    send_buffer_bytes: 512 << 10,
};

/// Time for which a client that was refused may send nothing until its connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections of the balancer, or of an operator's tooling.
const MAX_CONTROL_CONNECTIONS: usize = 16;

/// Bytes of a head besides its headers: the request line, and what arrives with the end of the head.
const HEAD_LINE_BYTES: usize = 8 << 10;

/// An address at which a node accepts connections.
#[derive(Debug, Clone)]
pub(crate) struct NodeListener {
    address: SocketAddr,
    buffers: BoundedTcpNet,
    limits: ListenLimits,
}

impl NodeListener {
    /// One for clients.
    pub(crate) fn for_clients(
        address: SocketAddr,
        settings: &NodeSettings,
        max_head_bytes: Arc<AtomicUsize>,
    ) -> Self {
        Self {
            address,
            buffers: CLIENT_BUFFERS,
            limits: ListenLimits {
                max_connections: settings.max_client_connections(),
                max_active: settings.max_active_clients(),
                max_head_bytes,
                discard_timeout: DISCARD_TIMEOUT,
            },
        }
    }

    /// One for other nodes.
    pub(crate) fn for_peers(address: SocketAddr, settings: &NodeSettings) -> Self {
        Self {
            address,
            buffers: PEER_BUFFERS,
            limits: ListenLimits {
                max_connections: settings.max_peer_connections(),
                ..ListenLimits::default()
            },
        }
    }

    /// One for the balancer or an operator's tooling.
    pub(crate) fn for_control(address: SocketAddr) -> Self {
        Self {
            address,
            buffers: CLIENT_BUFFERS,
            limits: ListenLimits {
                max_connections: MAX_CONTROL_CONNECTIONS,
                ..ListenLimits::default()
            },
        }
    }

    /// Listens, and serves requests with this handler until the process ends.
    pub(crate) async fn serve(
        self,
        context: &NodeContext,
        handler: BoxHandler,
    ) -> io::Result<BoxFuture<'static, ()>> {
        let net: SharedNet = Arc::new(self.buffers);
        let endpoint = Endpoint {
            address: self.address,
            linger: context.settings.grace(),
            limits: self.limits,
        };
        let connections = &context.open_connections;
        let (_, serving) =
            serve_among(connections, &net, &context.tasks, endpoint, handler).await?;
        Ok(serving)
    }
}

/// Bytes that are read of a head whose headers may have this many.
pub(crate) const fn max_buffered_head(max_header_bytes: usize) -> usize {
    max_header_bytes.saturating_add(HEAD_LINE_BYTES)
}
