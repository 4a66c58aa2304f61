//! The feed program: stands for the rollout feeds of the configuration, holds
//! those it can, and hands lots to trainers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use firweir_policy::straggler::StragglerPolicy;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::connection::object::Condition;
use crate::connection::object::ObjectApi;
use crate::connection::object::ObjectError;
use crate::connection::object::Versioned;
use crate::connection::peer::Peers;
use crate::connection::server;
use crate::connection::server::Body;
use crate::connection::server::read_body;
use crate::process::copies::Copies;
use crate::process::follow::follow;
use crate::process::holder::Holder;
use crate::process::run::Parts;
use crate::process::trainer;
use crate::request::answer::Refused;
use crate::request::record::FeedRecord;
use crate::version::view::SharedView;
use crate::version::view::View;
use crate::wire::firweir_capnp::entry;

/// VMs that stand by for one feed. The rest make no calls for it, so that the
/// cost on the object API does not grow with the fleet.
const CANDIDATES: usize = 3;

/// A record that has not changed for this long has lost its holder: several
/// renewals, counted on the observer's own clock.
const LEASE_LAPSE: Duration = Duration::from_secs(10);

/// Each later candidate waits this much longer, so that they do not race.
const RANK_DELAY: Duration = Duration::from_secs(2);

/// Pause between looks while there is nothing to do.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// Largest body that a trainer sends.
const TRAINER_BODY_LIMIT_BYTES: usize = 64 << 10;

/// Calls of trainers that wait to be taken up.
const INBOX_LENGTH: usize = 256;

/// When a trainer may come back to a feed that no one here can serve.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A trainer's call on its way from the HTTP server to the feed's own thread.
#[derive(Debug)]
pub struct TrainerCall {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body.
    pub body: Bytes,
    reply: oneshot::Sender<Response<Body>>,
}

/// What all feeds of one process share.
#[derive(Debug)]
pub struct FeedProgram {
    /// Parts of the process.
    pub parts: Parts,
    /// The platform's object API.
    pub api: ObjectApi,
    /// The newest view.
    pub view: SharedView,
    /// Connections to entries.
    pub entries: Peers<entry::Client>,
    /// Bodies of lots in the vaults.
    pub copies: Copies,
    /// What is done about stragglers.
    pub rules: StragglerPolicy,
    standing: RefCell<Vec<String>>,
    held: RefCell<Vec<(String, Rc<Holder>)>>,
}

/// Starts the feed program; the future ends when a drain has.
///
/// # Errors
///
/// The address cannot be listened at.
pub async fn start(
    parts: Parts,
    rules: StragglerPolicy,
) -> std::io::Result<impl Future<Output = ()> + use<>> {
    let view = SharedView::default();
    let program = Rc::new(FeedProgram {
        api: parts.object_api("feed"),
        copies: Copies::new(&parts, Arc::clone(&view)),
        view,
        entries: Peers::new(&parts),
        rules,
        standing: RefCell::default(),
        held: RefCell::default(),
        parts,
    });
    let parts = &program.parts;
    let (inbox, calls) = mpsc::channel(INBOX_LENGTH);
    let handler = server::handler(move |request| {
        let inbox = inbox.clone();
        Box::pin(async move { pass_on(inbox, request).await })
    });
    let (at, linger) = (parts.settings.feed_listen, parts.settings.drain_linger());
    let (address, serving) = server::serve(&parts.net, &parts.tasks, at, linger, handler).await?;
    parts
        .journal
        .event("feed_started", &[("address", &address)]);
    let view = Arc::clone(&program.view);
    let on_view = Rc::clone(&program);
    let following = follow(parts.clone(), "feed", view, move |view| {
        stand_for_all(&on_view, view);
    });
    parts.tasks.spawn_local(following);
    parts
        .tasks
        .spawn_local(Rc::clone(&program).take_calls(calls));
    let draining = Rc::clone(&program);
    Ok(async move {
        let releasing = async {
            draining.parts.tasks.draining().await;
            // At once: the next holder takes the sealed lots over, and a trainer
            // that waits here would hold the drain up.
            draining.release_all().await;
        };
        tokio::join!(biased; serving, releasing);
    })
}

async fn pass_on(inbox: mpsc::Sender<TrainerCall>, request: Request<Incoming>) -> Response<Body> {
    let (parts, body) = request.into_parts();
    let Some(body) = read_body(body, TRAINER_BODY_LIMIT_BYTES).await else {
        return Refused::bad_request("bad-body", StatusCode::PAYLOAD_TOO_LARGE).response();
    };
    let path = parts
        .uri
        .path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
        .to_owned();
    let (reply, answered) = oneshot::channel();
    let call = TrainerCall {
        method: parts.method,
        path,
        body,
        reply,
    };
    let lost = || Refused::unknown("feed-stopped", RETRY_AFTER).response();
    if inbox.send(call).await.is_err() {
        return lost();
    }
    answered.await.unwrap_or_else(|_stopped| lost())
}

fn stand_for_all(program: &Rc<FeedProgram>, view: &View) {
    for feed in &view.config.feeds {
        let position = program.standing.borrow().binary_search(&feed.name);
        if let Err(position) = position {
            program
                .standing
                .borrow_mut()
                .insert(position, feed.name.clone());
            let standing = Rc::clone(program).stand_for(feed.name.clone());
            program.parts.tasks.spawn_local(standing);
        }
    }
}

/// Key of a feed's record in the object API.
#[must_use]
pub fn record_key(feed: &str) -> String {
    format!("feeds/{feed}")
}

impl FeedProgram {
    /// The holder of a feed, if it is on this VM.
    #[must_use]
    pub fn holder(&self, feed: &str) -> Option<Rc<Holder>> {
        let held = self.held.borrow();
        held.iter()
            .find(|(name, _)| name == feed)
            .map(|(_, holder)| Rc::clone(holder))
    }

    /// The feed's record as the object API holds it.
    pub async fn read_record(
        &self,
        feed: &str,
    ) -> Result<Option<Versioned<FeedRecord>>, ObjectError> {
        self.api.read(&record_key(feed)).await
    }

    /// Takes the feed whenever no one else holds it, until the process ends or
    /// the feed leaves the configuration.
    async fn stand_for(self: Rc<Self>, feed: String) {
        while !self.parts.tasks.is_draining() && self.view.load().config.feed(&feed).is_some() {
            let Some(rank) = self.rank(&feed) else {
                tokio::time::sleep(IDLE_PAUSE).await;
                continue;
            };
            match self.try_to_take(&feed, rank).await {
                Ok(Some(record)) => Box::pin(self.hold(&feed, record)).await,
                Ok(None) => {}
                Err(_) => tokio::time::sleep(IDLE_PAUSE).await,
            }
        }
        let mut standing = self.standing.borrow_mut();
        standing.retain(|name| *name != feed);
    }

    /// This VM's place among the candidates for a feed, by rendezvous hash.
    fn rank(&self, feed: &str) -> Option<usize> {
        let view = self.view.load();
        let mut weights: Vec<(u64, &str)> = view
            .live_members()
            .map(|member| {
                (
                    xxh3_64(format!("{feed}/{}", member.node).as_bytes()),
                    &*member.node,
                )
            })
            .collect();
        weights.sort_unstable();
        let own = self.parts.settings.node.as_str();
        weights
            .iter()
            .take(CANDIDATES)
            .position(|(_, node)| *node == own)
    }

    async fn try_to_take(
        &self,
        feed: &str,
        rank: usize,
    ) -> Result<Option<Versioned<FeedRecord>>, ObjectError> {
        let patience = RANK_DELAY * rank as u32;
        let found = self.read_record(feed).await?;
        let Some(found) = found else {
            tokio::time::sleep(patience).await;
            return self
                .take(feed, &FeedRecord::default(), Condition::Absent)
                .await;
        };
        let own_before = found.value.holder == self.parts.settings.node;
        let lapse = match (found.value.holder.is_empty(), own_before) {
            (_, true) => Duration::ZERO,
            (true, false) => patience,
            (false, false) => LEASE_LAPSE + patience,
        };
        let key = record_key(feed);
        if !lapse.is_zero() {
            let changed = self
                .api
                .watch::<FeedRecord>(&key, Some(&found.etag), lapse)
                .await?;
            if changed.is_some() {
                return Ok(None);
            }
        }
        self.take(feed, &found.value, Condition::At(found.etag))
            .await
    }

    async fn take(
        &self,
        feed: &str,
        found: &FeedRecord,
        condition: Condition,
    ) -> Result<Option<Versioned<FeedRecord>>, ObjectError> {
        let settings = &self.parts.settings;
        let mut record = found.taken_by(&settings.node, settings.feed_listen);
        record.write_id = self.api.write_id();
        match self.api.write(&record_key(feed), &record, &condition).await {
            Ok(etag) => Ok(Some(Versioned {
                etag,
                value: record,
            })),
            Err(ObjectError::Conflict) => Ok(None),
            Err(error) => Err(error),
        }
    }

    async fn hold(self: &Rc<Self>, feed: &str, record: Versioned<FeedRecord>) {
        let epoch = record.value.epoch;
        self.parts
            .journal
            .event("feed_taken", &[("feed", &feed), ("epoch", &epoch)]);
        let holder = Holder::new(Rc::clone(self), feed.to_owned(), record);
        self.held
            .borrow_mut()
            .push((feed.to_owned(), Rc::clone(&holder)));
        if self.parts.tasks.is_draining() {
            // The write that took the feed was under way as the drain began.
            holder.release().await;
        } else {
            holder.run().await;
        }
        self.held.borrow_mut().retain(|(name, _)| name != feed);
        self.parts
            .journal
            .event("feed_lost", &[("feed", &feed), ("epoch", &epoch)]);
    }

    /// Gives every feed up, so that others take them without waiting for a lapse.
    async fn release_all(&self) {
        let held = self.held.borrow().clone();
        for (_, holder) in held {
            holder.release().await;
        }
    }

    async fn take_calls(self: Rc<Self>, mut calls: mpsc::Receiver<TrainerCall>) {
        while let Some(call) = calls.recv().await {
            let program = Rc::clone(&self);
            self.parts.tasks.spawn_local(async move {
                let TrainerCall {
                    method,
                    path,
                    body,
                    reply,
                } = call;
                let response = trainer::answer(&program, &method, &path, &body).await;
                drop(reply.send(response));
            });
        }
    }
}
