//! What a platform's adapter translates. An adapter keeps no state and takes no
//! decision: it turns the product's types into messages and back.

use std::fmt::Debug;
use std::time::Duration;

use bytes::Bytes;
use firweir_policy::scaling::CapacityType;
use firweir_policy::work::ReportedLoad;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http::request;
use http::response;
use http_body_util::Full;
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
    /// A message that is not what the protocol says.
    #[derive(Debug)]
    pub enum BadMessage {
        /// It is no JSON of the expected shape.
        Json(err: serde_json::Error) {
            display("malformed message: {err}")
            source(err)
            from()
        }
        /// One field has a value that means nothing.
        Field(name: &'static str) {
            display("field {name} has an unusable value")
        }
    }
}

/// A question about one submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Question {
    /// Its results from a position on.
    Results {
        /// Results before it are left out.
        after: usize,
        /// How long to wait for a first one.
        wait: Duration,
    },
    /// The body of an item.
    Item(String),
    /// Its end.
    End,
}

/// What a client asks a node for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClientCall {
    /// Whether this node takes requests.
    Ready,
    /// A question about a submission.
    Asked(AskedCall),
    /// Anything else goes by the routes.
    Routed(RoutedCall),
}

/// A client's question about a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AskedCall {
    /// Id of the submission.
    pub submission: String,
    /// What is asked.
    pub question: Question,
    /// Host that the client asked.
    pub host: String,
    /// The key that came with it.
    pub key: Option<ApiKey>,
}

/// What the head of a routed request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RoutedCall {
    /// Host that the client asked.
    pub host: String,
    /// Id of this attempt; empty if the client sent none.
    pub request_id: String,
    /// How long the client waits.
    pub timeout: Option<Duration>,
    /// The key that came with it.
    pub key: Option<ApiKey>,
}

/// A page of results.
#[derive(Debug)]
pub struct ResultPage<'a> {
    /// Items of the submission.
    pub total: usize,
    /// Position behind the last result of the page.
    pub next: usize,
    /// The results.
    pub results: &'a [ItemResult],
}

/// What the head of an upstream's answer says besides its status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Id of the request that it answers.
    pub request_id: Option<String>,
    /// The upstream's proof of origin.
    pub proof: Option<String>,
    /// The upstream says that it did not run the request.
    pub not_run: bool,
    /// Version of the weights that make the answer.
    pub version: Option<u64>,
    /// Load of the upstream, all its callers together.
    pub load: Option<ReportedLoad>,
}

/// One event of an upstream's stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number.
    pub number: u64,
    /// Its data.
    pub data: String,
    /// Version of the weights from this event on, where it changes.
    pub version: Option<u64>,
}

/// A request for the samples of one item.
#[derive(Debug)]
pub struct DraftRequest<'a> {
    /// The item.
    pub item: &'a Item,
    /// Host of the route.
    pub host: &'a str,
    /// Upstream that is to run it.
    pub upstream: &'a Upstream,
    /// Number of the last event that is known already; 0 for none.
    pub after_event: u64,
    /// Account that has submitted the item.
    pub account: Option<&'a str>,
}

/// A request for the score of an item's whole text.
#[derive(Debug)]
pub struct RewardRequest<'a> {
    /// The call.
    pub call: &'a RewardCall,
    /// Upstream that is to run it.
    pub upstream: &'a Upstream,
    /// How long its answer is waited for.
    pub timeout: Duration,
}

/// An order to load weights.
#[derive(Debug)]
pub struct WeightOrder<'a> {
    /// What to load.
    pub load: &'a ModelVersion,
    /// Samples that run go on under the new weights; else they finish first.
    pub keep_running: bool,
    /// Who orders.
    pub holder: &'a str,
    /// Grows with each change of the holder.
    pub epoch: u64,
    /// Upstream that is to load.
    pub upstream: &'a Upstream,
    /// Orders that the upstream has accepted so far; else it refuses.
    pub expected_orders_accepted: u64,
}

/// What an upstream says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It loads.
    Accepted,
    /// It has these weights.
    Holds,
    /// Another order is in progress or was accepted meanwhile.
    Busy,
    /// It never carries this order out.
    Refused,
}

/// A report of the usage of accounts.
#[derive(Debug)]
pub struct UsageReport<'a> {
    /// The window.
    pub window: Window,
    /// Requests of the accounts that had any.
    pub counts: &'a [AccountCount],
    /// Who reports.
    pub holder: &'a str,
    /// Grows with each change of the holder.
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

/// What the platform says to a call that one node at a time makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DutyAnswer {
    /// It has taken it in.
    Done,
    /// It cannot be done now.
    Later,
    /// The platform has no upstreams of this kind in this zone at the moment.
    Unavailable,
}

/// What an upstream reports of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineReport {
    /// An order is in progress.
    pub loading: bool,
    /// When the upstream that reports started, as [`crate::model::Instance`] has it.
    pub born_ms: u64,
    /// Orders that were accepted since its start.
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
    /// Versions of weights that trainers named.
    WeightVersions,
    /// Requests to empty VMs that have a disk.
    Evacuations,
    /// Heads of submissions.
    Submissions,
    /// Items of submissions.
    SubmissionParts,
    /// Chunks of results.
    ResultChunks,
    /// Texts of samples that are being made.
    UnfinishedTexts,
    /// Who holds a duty that one VM at a time has.
    Duties,
    /// What is reported of the usage of accounts, by window.
    UsageReports,
    /// The last orders of upstreams, by service and availability zone.
    ScaleOrders,
}

/// An object of the platform's store.
#[derive(Debug, Clone)]
pub struct Object {
    /// Its name within its kind.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// Its value.
    pub value: Box<RawValue>,
    /// What its keeper reports, if anything.
    pub reported: bool,
}

/// How old an answer of the store may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It shows all that the store has confirmed.
    Newest,
    /// It may be seconds old, and costs a tenth.
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
        /// Names up to this one are left out.
        after: String,
        /// How old the answer may be.
        freshness: Freshness,
    },
    /// Waits for changes of a kind.
    Watch {
        /// The kind.
        kind: ObjectKind,
        /// Changes up to this revision are known.
        since: u64,
        /// How long the store may wait for a change.
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
    /// It was deleted.
    pub deleted: bool,
}

/// What the store answers.
#[derive(Debug, Clone)]
pub enum StoreAnswer {
    /// The object as it is now.
    Object(Object),
    /// A page of a list.
    Page {
        /// The objects.
        objects: Vec<Object>,
        /// There are more behind them.
        more: bool,
        /// Revision of the store.
        revision: u64,
        /// Objects that cannot be read; they are left out, and hide no other one.
        unreadable: usize,
    },
    /// Changes since the revision of the watch.
    Changes {
        /// The changes, oldest first.
        changes: Vec<ObjectChange>,
        /// Revision to go on from.
        revision: u64,
        /// Changes that cannot be read; they are left out.
        unreadable: usize,
    },
    /// Done, with nothing to tell.
    Done,
}

quick_error! {
    /// Why a call of the store brought nothing.
    #[derive(Debug)]
    pub enum StoreError {
        /// Nothing was done and a later try may succeed.
        Refused(status: StatusCode) {
            display("refused with status {status}")
        }
        /// No connection; nothing was sent.
        Unreachable {
            display("unreachable")
        }
        /// The condition did not hold; nothing was done.
        Conflict {
            display("conflict")
        }
        /// There is no such object.
        Missing {
            display("no such object")
        }
        /// The changes since that revision are no longer known.
        HistoryGone {
            display("history is gone")
        }
        /// No answer: it may have been done, or be done later.
        Unknown {
            display("no answer")
        }
        /// The answer is not what the protocol says.
        Malformed(err: BadMessage) {
            display("{err}")
            source(err)
            from()
        }
    }
}

/// Translates between the product and one platform.
pub trait Dialect: Send + Sync + Debug {
    /// Reads the head of a client's request.
    fn client_call(&self, head: &request::Parts) -> ClientCall;

    /// Reads the body of a submission.
    ///
    /// # Errors
    ///
    /// The body is malformed.
    fn submission(&self, id: &str, body: &[u8]) -> Result<Submission, BadMessage>;

    /// Writes a page of results.
    fn result_page(&self, page: &ResultPage<'_>) -> Bytes;

    /// Headers of a client's request as the upstream is to get them, with the account that
    /// it is for in place of any that the client names.
    fn forwarded_headers(
        &self,
        headers: &HeaderMap,
        account: Option<&str>,
        upstream: &Upstream,
        remaining: Duration,
    ) -> HeaderMap;

    /// Headers of an upstream's answer as the client is to get them.
    fn returned_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn answer_head(&self, head: &response::Parts) -> AnswerHead;

    /// Writes the request for an item's samples.
    ///
    /// # Errors
    ///
    /// The item's path, headers or body are unusable.
    fn draft_request(&self, draft: &DraftRequest<'_>) -> Result<Request<Full<Bytes>>, BadMessage>;

    /// Writes the request for an item's score.
    ///
    /// # Errors
    ///
    /// The call's id, host, path or body are unusable.
    fn reward_request(
        &self,
        request: &RewardRequest<'_>,
    ) -> Result<Request<Full<Bytes>>, BadMessage>;

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
    /// It is no event.
    fn stream_event(&self, event: &[u8]) -> Result<StreamEvent, BadMessage>;

    /// Writes an order to load weights.
    fn weight_order(&self, order: &WeightOrder<'_>) -> Request<Full<Bytes>>;

    /// Reads the answer to an order.
    fn order_answer(&self, status: StatusCode) -> OrderAnswer;

    /// Writes a report of usage.
    fn usage_report(&self, report: &UsageReport<'_>) -> Request<Full<Bytes>>;

    /// Writes an order of upstreams.
    fn scale_order(&self, order: &ScaleOrder<'_>) -> Request<Full<Bytes>>;

    /// Reads the platform's answer to a call that one node at a time makes.
    fn duty_answer(&self, status: StatusCode) -> DutyAnswer;

    /// Writes the question for an upstream's report.
    fn engine_report_request(&self, upstream: &Upstream) -> Request<Full<Bytes>>;

    /// Reads an upstream's report.
    ///
    /// # Errors
    ///
    /// The report is malformed.
    fn engine_report(&self, body: &[u8]) -> Result<EngineReport, BadMessage>;

    /// Writes a call of the store.
    fn store_request(&self, call: &StoreCall) -> Request<Full<Bytes>>;

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

    /// Reads a version that a trainer named.
    ///
    /// # Errors
    ///
    /// The value is malformed.
    fn weight_version(&self, object: &Object) -> Result<ModelVersion, BadMessage>;
}
