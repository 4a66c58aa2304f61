//! Interface of a platform's adapter, which translates between the types of firweir and the
//! platform's messages. An adapter is stateless and makes no decisions.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use firweir::connection::blocks::Blocks;
use firweir::connection::target::BadTarget;
use firweir_policy::scaling::CapacityType;
use firweir_policy::work::ReportedLoad;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;
use quick_error::quick_error;
use serde_json::value::RawValue;

use crate::account::ApiKey;
use crate::model::Config;
use crate::model::Item;
use crate::model::ItemResult;
use crate::model::ModelVersion;
use crate::model::RewardCall;
use crate::model::Submission;
use crate::model::Upstream;
use crate::usage::tally::AccountCount;
use crate::usage::tally::Window;

quick_error! {
    /// Why a message does not conform to the protocol.
    #[derive(Debug)]
    pub enum BadMessage {
        /// The message is no JSON of the expected structure.
        Json(err: serde_json::Error) {
            display("malformed message: {err}")
            source(err)
            from()
        }
        /// A field has an invalid value.
        Field(name: &'static str) {
            display("field {name} has an unusable value")
        }
    }
}

/// A question about one submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Question {
    /// Asks for the results from a position on.
    Results {
        /// Number of results to skip.
        after: usize,
        /// Longest wait for a first result.
        wait: Duration,
    },
    /// Asks for the body of the item with this id.
    Item(String),
    /// Asks to end the submission.
    End,
}

/// A request of a client, by what it asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientCall {
    /// Asks whether this node is ready for requests.
    Ready,
    /// A question about a submission.
    Asked(AskedCall),
    /// Any other request; handled by the routes of the configuration.
    Routed(RoutedCall),
}

/// A client's question about a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AskedCall {
    /// Id of the submission.
    pub submission: String,
    /// The question.
    pub question: Question,
    /// Host that the request was sent to.
    pub host: String,
    /// API key of the request.
    pub key: Option<ApiKey>,
}

/// The head of a routed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutedCall {
    /// Host that the request was sent to.
    pub host: String,
    /// Id of this attempt; empty if the client sent none.
    pub request_id: String,
    /// How long the client waits; `None` if it does not say.
    pub timeout: Option<Duration>,
    /// API key of the request.
    pub key: Option<ApiKey>,
}

/// A page of results.
#[derive(Debug)]
pub struct ResultPage<'a> {
    /// Number of items of the submission.
    pub total: usize,
    /// Position after the last result of the page.
    pub next: usize,
    /// The results.
    pub results: &'a [ItemResult],
}

/// Which request an answer names.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum AnsweredId {
    /// It names none.
    #[default]
    Missing,
    /// It names one, possibly more than once.
    One(String),
    /// It names different requests, or the name is not readable.
    Several,
}

/// The head of an upstream's answer, without its status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Id of the request that is answered.
    pub answered_id: AnsweredId,
    /// The upstream's proof of origin.
    pub proof: Option<String>,
    /// Whether the upstream reports that it did not run the request.
    pub not_run: bool,
    /// Version of the weights that produce the answer.
    pub version: Option<u64>,
    /// Load of the upstream by all its callers together.
    pub load: Option<ReportedLoad>,
}

/// One event of an upstream's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number of the event.
    pub number: u64,
    /// Data of the event.
    pub data: String,
    /// Version of the weights from this event on; `None` if it is unchanged.
    pub version: Option<u64>,
}

/// A request for the sample of one item.
#[derive(Debug)]
pub struct GenerationRequest<'a> {
    /// The item.
    pub item: &'a Item,
    /// Host of the route.
    pub host: &'a str,
    /// Upstream that is to run it.
    pub upstream: &'a Upstream,
    /// Number of the last event that is already known; 0 for none.
    pub after_event: u64,
    /// Account that submitted the item.
    pub account: Option<&'a str>,
}

/// A request for the score of an item's complete text.
#[derive(Debug)]
pub struct RewardRequest<'a> {
    /// The call.
    pub call: &'a RewardCall,
    /// Upstream that is to run it.
    pub upstream: &'a Upstream,
    /// Timeout of the request.
    pub timeout: Duration,
}

/// An order to load weights.
#[derive(Debug)]
pub struct WeightOrder<'a> {
    /// Model and version to load.
    pub load: &'a ModelVersion,
    /// Whether running samples continue with the new weights; otherwise they finish first.
    pub keep_running: bool,
    /// Name of the node that holds the duty of ordering.
    pub holder: &'a str,
    /// Fencing token; grows with each change of the holder.
    pub epoch: u64,
    /// Upstream that is to load.
    pub upstream: &'a Upstream,
    /// Number of orders that the upstream must have accepted so far; otherwise it refuses this one.
    pub expected_orders_accepted: u64,
}

/// Answer of an upstream to a weight order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The upstream loads the weights.
    Accepted,
    /// The upstream already has these weights.
    Holds,
    /// Another order is in progress or was accepted meanwhile.
    Busy,
    /// The upstream will never carry out this order.
    Refused,
}

/// A report of the usage of accounts.
#[derive(Debug)]
pub struct UsageReport<'a> {
    /// Window of time that is reported.
    pub window: Window,
    /// Numbers of requests of the accounts that had any.
    pub counts: &'a [AccountCount],
    /// Name of the node that holds the duty of reporting.
    pub holder: &'a str,
    /// Fencing token; grows with each change of the holder.
    pub epoch: u64,
}

/// A request to the platform to set the number of upstreams of one kind in one availability
/// zone.
#[derive(Debug, Clone, Copy)]
pub struct ScaleOrder<'a> {
    /// The service.
    pub service: &'a str,
    /// The availability zone.
    pub zone: &'a str,
    /// On-demand or spot.
    pub capacity_type: CapacityType,
    /// Total number of this kind that the zone is to have.
    pub count: u32,
    /// Name of the node that holds the duty of ordering.
    pub holder: &'a str,
    /// Fencing token; grows with each change of the holder.
    pub epoch: u64,
}

/// Answer of the platform to a call that only the holder of a duty makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The platform has accepted the call.
    Done,
    /// The call cannot be carried out now and may be retried.
    Later,
    /// The platform has no upstreams of this kind in this zone at the moment.
    Unavailable,
}

/// State that an upstream reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether a weight order is in progress.
    pub loading: bool,
    /// Start of the upstream's process, as in [`crate::model::Instance`].
    pub born_ms: u64,
    /// Number of orders that were accepted since its start.
    pub orders_accepted: u64,
    /// Models that it has loaded, sorted by name.
    pub models: Vec<ModelVersion>,
    /// Number of requests that it runs or queues.
    pub requests: u32,
}

/// Kinds of objects in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// The operator's configuration.
    Configuration,
    /// The list of upstreams.
    Upstreams,
    /// Versions of weights that trainers published.
    WeightVersions,
    /// Requests to evacuate VMs that have a disk.
    Evacuations,
    /// Heads of submissions.
    Submissions,
    /// Items of submissions.
    SubmissionParts,
    /// Chunks of results.
    ResultChunks,
    /// Texts of samples that are being generated.
    UnfinishedTexts,
    /// Holders of the duties that one VM at a time has, and the failed runs that each node saw.
    Duties,
    /// Reported usage of accounts, by window.
    UsageReports,
    /// The last orders of upstreams, by service and availability zone.
    ScaleOrders,
}

/// An object of the platform's store.
#[derive(Debug, Clone)]
pub struct Object {
    /// Name within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Value as JSON.
    pub value: Box<RawValue>,
    /// Whether it is reported as done; only evacuations are.
    pub reported: bool,
}

/// How old an answer of the store may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// The answer includes all writes that the store has confirmed.
    Newest,
    /// The answer may be some seconds old; the call costs a tenth of [`Freshness::Newest`].
    Seconds,
}

/// A call of the platform's store.
#[derive(Debug, Clone)]
pub enum StoreCall {
    /// Reads one object.
    Read {
        /// Kind of the object.
        kind: ObjectKind,
        /// Its name.
        name: String,
        /// How old the answer may be.
        freshness: Freshness,
    },
    /// Lists objects of a kind, in order of their names.
    List {
        /// The kind.
        kind: ObjectKind,
        /// Name after which the list starts.
        after: String,
        /// How old the answer may be.
        freshness: Freshness,
    },
    /// Waits for changes of a kind.
    Watch {
        /// The kind.
        kind: ObjectKind,
        /// Revision after which changes are wanted.
        since: u64,
        /// Longest time that the store waits for a change.
        wait: Duration,
        /// How old the answer may be.
        freshness: Freshness,
    },
    /// Creates an object that must not exist.
    Create {
        /// Its kind.
        kind: ObjectKind,
        /// Its name.
        name: String,
        /// Its value.
        value: Box<RawValue>,
    },
    /// Replaces an object that must be at a revision.
    Replace {
        /// Its kind.
        kind: ObjectKind,
        /// Its name.
        name: String,
        /// The revision.
        revision: u64,
        /// Its new value.
        value: Box<RawValue>,
    },
    /// Reports an evacuation as done.
    ReportEvacuated {
        /// Name of the VM.
        name: String,
        /// Revision of the request.
        revision: u64,
    },
    /// Deletes an object that must be at a revision.
    Delete {
        /// Its kind.
        kind: ObjectKind,
        /// Its name.
        name: String,
        /// The revision.
        revision: u64,
    },
}

/// One change that a watch shows.
#[derive(Debug, Clone)]
pub struct ObjectChange {
    /// The object, with its last value if it was deleted.
    pub object: Object,
    /// Whether the object was deleted.
    pub deleted: bool,
}

/// Answer of the store to a call.
#[derive(Debug, Clone)]
pub enum StoreAnswer {
    /// The object as it is now.
    Object(Object),
    /// A page of a list.
    Page {
        /// The objects.
        objects: Vec<Object>,
        /// Names of all objects of the page that have one, malformed ones included, in its order.
        names: Vec<String>,
        /// Whether there are more objects after them.
        more: bool,
        /// Revision of the store.
        revision: u64,
        /// Number of malformed objects; they are left out, and the others are listed.
        unreadable: usize,
    },
    /// Changes since the revision of the watch.
    Changes {
        /// The changes, oldest first.
        changes: Vec<ObjectChange>,
        /// Revision after which the next watch continues.
        revision: u64,
        /// Number of malformed changes; they are left out.
        unreadable: usize,
    },
    /// The call was carried out and returns nothing.
    Done,
}

quick_error! {
    /// Why a call of the store failed.
    #[derive(Debug)]
    pub enum StoreError {
        /// The store refused the call and did nothing; a retry may succeed.
        Refused(status: StatusCode) {
            display("refused with status {status}")
        }
        /// There is no connection, and nothing was sent.
        Unreachable {
            display("unreachable")
        }
        /// The condition did not hold; nothing was done.
        Conflict {
            display("conflict")
        }
        /// The object does not exist.
        Missing {
            display("no such object")
        }
        /// The store no longer has the changes since that revision.
        HistoryGone {
            display("history is gone")
        }
        /// There is no answer; the call may have been carried out, or may be later.
        Unknown {
            display("no answer")
        }
        /// No target can name the object; nothing was sent.
        Target(err: BadTarget) {
            display("{err}")
            source(err)
            from()
        }
        /// The answer does not conform to the protocol.
        Malformed(err: BadMessage) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Translates between the types of firweir and the messages of one platform.
pub trait Dialect: Send + Sync + Debug {
    /// Reads the head of a client's request.
    fn client_call(&self, head: &request::Parts) -> ClientCall;

    /// Reads the body of a submission.
    ///
    /// # Errors
    ///
    /// The body is malformed.
    fn submission(&self, id: &str, body: Blocks) -> Result<Submission, BadMessage>;

    /// Writes a page of results.
    fn result_page(&self, page: &ResultPage<'_>) -> Bytes;

    /// Headers of a client's request as forwarded to the upstream; `account` replaces any account
    /// that the client names.
    fn forwarded_headers(
        &self,
        headers: &HeaderMap,
        account: Option<&str>,
        upstream: &Upstream,
    ) -> HeaderMap;

    /// Sets the time left to a forwarded request.
    fn set_time_left(&self, headers: &mut HeaderMap, time_left: Duration);

    /// Headers of an upstream's answer as returned to the client.
    fn returned_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn answer_head(&self, head: &response::Parts) -> AnswerHead;

    /// Writes the request for an item's sample.
    ///
    /// # Errors
    ///
    /// The item's path, headers or body are unusable.
    fn generation_request(
        &self,
        generation: &GenerationRequest<'_>,
    ) -> Result<Request<Blocks>, BadMessage>;

    /// Writes the request for an item's score.
    ///
    /// # Errors
    ///
    /// The call's id, host, path or body are unusable.
    fn reward_request(&self, request: &RewardRequest<'_>) -> Result<Request<Blocks>, BadMessage>;

    /// The decoded body of an item.
    ///
    /// # Errors
    ///
    /// The body is no base64.
    fn item_body(&self, item: &Item) -> Result<Bytes, BadMessage>;

    /// Reads one event of a stream, without the blank line that ends it.
    ///
    /// # Errors
    ///
    /// The bytes are no event.
    fn stream_event(&self, event: &[u8]) -> Result<StreamEvent, BadMessage>;

    /// Writes an order to load weights.
    fn weight_order(&self, order: &WeightOrder<'_>) -> Request<Blocks>;

    /// Reads the answer to an order.
    fn order_answer(&self, status: StatusCode) -> OrderAnswer;

    /// Writes a report of usage.
    fn usage_report(&self, report: &UsageReport<'_>) -> Request<Blocks>;

    /// Writes an order of upstreams.
    fn scale_order(&self, order: &ScaleOrder<'_>) -> Request<Blocks>;

    /// Reads the platform's answer to a call that only the holder of a duty makes.
    fn duty_answer(&self, status: StatusCode) -> DutyAnswer;

    /// Writes the request for an upstream's report.
    fn engine_report_request(&self, upstream: &Upstream) -> Request<Blocks>;

    /// Reads an upstream's report.
    ///
    /// # Errors
    ///
    /// The report is malformed.
    fn engine_report(&self, body: &[u8]) -> Result<EngineReport, BadMessage>;

    /// Writes a call of the store.
    ///
    /// # Errors
    ///
    /// No target can name its object.
    fn store_request(&self, call: &StoreCall) -> Result<Request<Blocks>, BadTarget>;

    /// Reads the store's answer to a call.
    ///
    /// # Errors
    ///
    /// The store refused, or the answer is malformed.
    fn store_answer(
        &self,
        call: &StoreCall,
        answer: &Response<Bytes>,
    ) -> Result<StoreAnswer, StoreError>;

    /// Reads the operator's configuration.
    ///
    /// # Errors
    ///
    /// The value is malformed.
    fn config(&self, object: &Object) -> Result<Config, BadMessage>;

    /// Reads an entry of the list of upstreams.
    ///
    /// # Errors
    ///
    /// The value is malformed.
    fn upstream(&self, object: &Object) -> Result<Upstream, BadMessage>;

    /// Reads a version of weights that a trainer published.
    ///
    /// # Errors
    ///
    /// The value is malformed.
    fn weight_version(&self, object: &Object) -> Result<ModelVersion, BadMessage>;
}
