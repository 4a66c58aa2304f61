//! In-memory transport with latency and cuts, for the replay.

use std::collections::VecDeque;
use std::fmt::Debug;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use firweir::connection::net::BoxConn;
use firweir::connection::net::Listener;
use firweir::connection::net::Net;
use futures_util::future::BoxFuture;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::stand::lock;

/// Connections that may wait to be accepted at one address.
const BACKLOG: usize = 1_024;

/// First of the ports that outgoing connections claim to come from.
const CLIENT_PORT: u16 = 40_000;

/// Where a host stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Zone(pub u16);

/// One-way latencies of the network.
#[derive(Debug, Clone, Copy)]
pub struct Latency {
    /// Within one zone.
    pub local: Duration,
    /// Between two zones.
    pub zones: Duration,
    /// Between clients and any zone.
    pub clients: Duration,
}

/// The zone that callers and trainers are in.
pub const CLIENT_ZONE: Zone = Zone(u16::MAX);

/// A lost packet is sent again after this, as TCP on a short path does.
const RETRANSMIT_AFTER: Duration = Duration::from_millis(200);

/// Bytes that connections to one port carried between different hosts.
#[derive(Debug, Clone, Copy)]
struct Carried {
    port: u16,
    bytes: u64,
}

/// A stretch of time in which two zones do not reach each other.
#[derive(Debug, Clone, Copy)]
struct Cut {
    from: Zone,
    to: Zone,
    until: Instant,
}

type Incoming = (BoxConn, SocketAddr);

/// The whole network.
#[derive(Debug)]
pub struct Fabric {
    latency: Latency,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by address.
    hosts: Vec<(IpAddr, Zone)>,
    /// Sorted by address.
    listeners: Vec<(SocketAddr, mpsc::Sender<IncomingBox>)>,
    cuts: Vec<Cut>,
    next_port: u16,
    /// Sorted by port.
    carried: Vec<Carried>,
    loss: Option<Loss>,
}

/// Packets that are lost, and what decides which.
#[derive(Debug)]
struct Loss {
    share: f64,
    random: Pcg64Mcg,
}

struct IncomingBox(Incoming);

impl Debug for IncomingBox {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Incoming({})", self.0.1)
    }
}

impl Fabric {
    /// A network without hosts.
    #[must_use]
    pub fn new(latency: Latency) -> Arc<Self> {
        Arc::new(Self {
            latency,
            state: Mutex::new(State::default()),
        })
    }

    /// A host's way into the network.
    #[must_use]
    pub fn host(self: &Arc<Self>, address: IpAddr, zone: Zone) -> PipeNet {
        let mut state = lock(&self.state);
        if let Err(position) = state
            .hosts
            .binary_search_by_key(&address, |(host, _)| *host)
        {
            state.hosts.insert(position, (address, zone));
        }
        drop(state);
        PipeNet {
            fabric: Arc::clone(self),
            address,
            zone,
        }
    }

    /// Cuts one direction between two zones for a while: what is sent arrives
    /// when the cut ends, and no connection opens until then.
    pub fn cut(&self, from: Zone, to: Zone, lasting: Duration) {
        lock(&self.state).cuts.push(Cut {
            from,
            to,
            until: Instant::now() + lasting,
        });
    }

    /// Loses this share of all packets from now on; each arrives late, when its
    /// sender has sent it again.
    pub fn lose(&self, share: f64, seed: u64) {
        let random = Pcg64Mcg::seed_from_u64(seed);
        lock(&self.state).loss = (share > 0.0).then_some(Loss { share, random });
    }

    /// Bytes, both ways, that connections to this port carried between different
    /// hosts so far.
    #[must_use]
    pub fn carried_bytes(&self, port: u16) -> u64 {
        let state = lock(&self.state);
        let found = state.carried.binary_search_by_key(&port, |it| it.port);
        found.map_or(0, |position| state.carried[position].bytes)
    }

    /// Counts a packet; gives the time that its loss costs.
    fn carry(&self, port: Option<u16>, length_bytes: usize) -> Duration {
        let Some(port) = port else {
            return Duration::ZERO;
        };
        let mut state = lock(&self.state);
        let bytes = length_bytes as u64;
        match state.carried.binary_search_by_key(&port, |it| it.port) {
            Ok(position) => state.carried[position].bytes += bytes,
            Err(position) => state.carried.insert(position, Carried { port, bytes }),
        }
        let mut late = Duration::ZERO;
        if let Some(loss) = &mut state.loss {
            let mut wait = RETRANSMIT_AFTER;
            while loss.random.random_bool(loss.share) {
                late += wait;
                wait *= 2;
            }
        }
        late
    }

    fn cut_until(&self, from: Zone, to: Zone) -> Option<Instant> {
        let now = Instant::now();
        let state = lock(&self.state);
        let hits = |cut: &&Cut| cut.from == from && cut.to == to && cut.until > now;
        state.cuts.iter().filter(hits).map(|cut| cut.until).max()
    }

    fn latency(&self, from: Zone, to: Zone) -> Duration {
        if from == to {
            self.latency.local
        } else if from == CLIENT_ZONE || to == CLIENT_ZONE {
            self.latency.clients
        } else {
            self.latency.zones
        }
    }

    fn zone_of(&self, address: IpAddr) -> Option<Zone> {
        let state = lock(&self.state);
        let position = state
            .hosts
            .binary_search_by_key(&address, |(host, _)| *host)
            .ok()?;
        Some(state.hosts[position].1)
    }

    fn listener(&self, at: SocketAddr) -> Option<mpsc::Sender<IncomingBox>> {
        let state = lock(&self.state);
        let position = state
            .listeners
            .binary_search_by_key(&at, |(address, _)| *address)
            .ok()?;
        Some(state.listeners[position].1.clone())
    }

    fn client_port(&self) -> u16 {
        let mut state = lock(&self.state);
        state.next_port = state.next_port.wrapping_add(1) % (u16::MAX - CLIENT_PORT);
        CLIENT_PORT + state.next_port
    }
}

/// One host's way into the network.
#[derive(Debug, Clone)]
pub struct PipeNet {
    fabric: Arc<Fabric>,
    address: IpAddr,
    zone: Zone,
}

impl Net for PipeNet {
    fn connect(&self, to: SocketAddr) -> BoxFuture<'static, io::Result<BoxConn>> {
        let PipeNet {
            fabric,
            address,
            zone,
        } = self.clone();
        Box::pin(async move {
            let Some(there) = fabric.zone_of(to.ip()) else {
                return Err(io::ErrorKind::HostUnreachable.into());
            };
            while let Some(until) = fabric
                .cut_until(zone, there)
                .max(fabric.cut_until(there, zone))
            {
                tokio::time::sleep_until(until).await;
            }
            tokio::time::sleep(fabric.latency(zone, there) * 2).await;
            let listener = fabric
                .listener(to)
                .ok_or(io::ErrorKind::ConnectionRefused)?;
            let from = SocketAddr::new(address, fabric.client_port());
            let port = (address != to.ip()).then_some(to.port());
            let (ours, theirs) = pair(&fabric, zone, there, port);
            let incoming = IncomingBox((Box::new(theirs), from));
            listener
                .try_send(incoming)
                .map_err(|_full| io::ErrorKind::ConnectionRefused)?;
            Ok(Box::new(ours) as BoxConn)
        })
    }

    fn listen(&self, at: SocketAddr) -> BoxFuture<'static, io::Result<Box<dyn Listener>>> {
        let fabric = Arc::clone(&self.fabric);
        Box::pin(async move {
            let (sender, receiver) = mpsc::channel(BACKLOG);
            let mut state = lock(&fabric.state);
            match state
                .listeners
                .binary_search_by_key(&at, |(address, _)| *address)
            {
                Ok(position) if !state.listeners[position].1.is_closed() => {
                    return Err(io::ErrorKind::AddrInUse.into());
                }
                Ok(position) => state.listeners[position].1 = sender,
                Err(position) => state.listeners.insert(position, (at, sender)),
            }
            drop(state);
            Ok(Box::new(PipeListener { at, receiver }) as Box<dyn Listener>)
        })
    }
}

struct PipeListener {
    at: SocketAddr,
    receiver: mpsc::Receiver<IncomingBox>,
}

impl Listener for PipeListener {
    fn accept(&mut self) -> BoxFuture<'_, io::Result<Incoming>> {
        Box::pin(async move {
            let incoming = self
                .receiver
                .recv()
                .await
                .ok_or(io::ErrorKind::NotConnected)?;
            Ok(incoming.0)
        })
    }

    fn local_address(&self) -> io::Result<SocketAddr> {
        Ok(self.at)
    }
}

fn pair(fabric: &Arc<Fabric>, here: Zone, there: Zone, port: Option<u16>) -> (Pipe, Pipe) {
    let (outbound, outbound_end) = mpsc::unbounded_channel();
    let (inbound, inbound_end) = mpsc::unbounded_channel();
    let mut ours = Pipe::new(fabric, here, there, outbound, inbound_end);
    let mut theirs = Pipe::new(fabric, there, here, inbound, outbound_end);
    ours.port = port;
    theirs.port = port;
    (ours, theirs)
}

/// Bytes on their way.
struct Packet {
    arrives: Instant,
    bytes: Bytes,
}

/// One end of a connection.
struct Pipe {
    fabric: Arc<Fabric>,
    here: Zone,
    there: Zone,
    /// Port that was connected to; none within one host.
    port: Option<u16>,
    /// No packet overtakes the one before it.
    last_arrival: Instant,
    sender: Option<mpsc::UnboundedSender<Packet>>,
    receiver: mpsc::UnboundedReceiver<Packet>,
    received: VecDeque<Packet>,
    timer: Pin<Box<Sleep>>,
}

impl Pipe {
    fn new(
        fabric: &Arc<Fabric>,
        here: Zone,
        there: Zone,
        sender: mpsc::UnboundedSender<Packet>,
        receiver: mpsc::UnboundedReceiver<Packet>,
    ) -> Self {
        Self {
            fabric: Arc::clone(fabric),
            here,
            there,
            port: None,
            last_arrival: Instant::now(),
            sender: Some(sender),
            receiver,
            received: VecDeque::new(),
            timer: Box::pin(tokio::time::sleep_until(Instant::now())),
        }
    }

    /// When the first packet may be read.
    fn next_arrival(&self) -> Option<Instant> {
        let arrives = self.received.front()?.arrives;
        let cut = self.fabric.cut_until(self.there, self.here);
        Some(cut.map_or(arrives, |until| arrives.max(until)))
    }
}

impl AsyncRead for Pipe {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let mut open = true;
        loop {
            match this.receiver.poll_recv(context) {
                Poll::Ready(Some(packet)) => this.received.push_back(packet),
                Poll::Ready(None) => {
                    open = false;
                    break;
                }
                Poll::Pending => break,
            }
        }
        let Some(arrives) = this.next_arrival() else {
            return if open {
                Poll::Pending
            } else {
                Poll::Ready(Ok(()))
            };
        };
        if arrives > Instant::now() {
            this.timer.as_mut().reset(arrives);
            if this.timer.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
        }
        if let Some(first) = this.received.front_mut() {
            let length = first.bytes.len().min(buffer.remaining());
            buffer.put_slice(&first.bytes[..length]);
            first.bytes.advance(length);
            if first.bytes.is_empty() {
                this.received.pop_front();
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let late = self.fabric.carry(self.port, bytes.len());
        let arrives = Instant::now() + self.fabric.latency(self.here, self.there) + late;
        let arrives = arrives.max(self.last_arrival);
        self.last_arrival = arrives;
        let packet = Packet {
            arrives,
            bytes: Bytes::copy_from_slice(bytes),
        };
        let sent = self
            .sender
            .as_ref()
            .is_some_and(|sender| sender.send(packet).is_ok());
        if sent {
            Poll::Ready(Ok(bytes.len()))
        } else {
            Poll::Ready(Err(broken()))
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.sender = None;
        Poll::Ready(Ok(()))
    }
}

fn broken() -> io::Error {
    io::ErrorKind::BrokenPipe.into()
}
