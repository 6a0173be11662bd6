//! The format of messages between a gateway and its callers, operators and upstreams.

use std::fmt::Debug;

use bytes::Bytes;
use chestnutdrift_core::gateway::{
    Answer, Call, Forward, JobBody, Order, ProviderCall, RequestRate, RewardRequest, RunItem,
    UpstreamAddress,
};
use chestnutdrift_core::{Millis, Problem};
use hyper::http::{request, response};
use hyper::{HeaderMap, Request};

use crate::exchange::FullReply;

/// A listener, by who connects to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listener {
    /// Callers and trainers.
    Callers,
    /// The load balancer, which checks whether the host accepts requests.
    Readiness,
    /// Operators, trainers and upstreams.
    Control,
    /// Metrics, and the reports that the command-line tool reads.
    Metrics,
}

impl Listener {
    /// Returns the name in metrics and logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Readiness => "readiness",
            Self::Control => "control",
            Self::Metrics => "metrics",
        }
    }
}

/// A request, parsed.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The request's name in logs.
    pub trace: Box<str>,
    /// How long the caller waits for an answer, where it says so.
    pub wait_limit: Option<Millis>,
    /// The call to the gateway.
    pub call: Call,
}

/// The class of an upstream's response, as its head shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request ran and succeeded.
    Success,
    /// The request ran, or may have, and failed.
    Failure,
    /// The upstream did not run the request.
    NotRun {
        /// Whether the address now belongs to another instance.
        other_instance: bool,
    },
    /// The response does not belong to the request.
    Mismatched,
}

/// What an upstream says about itself in the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statements {
    /// Whether it leaves.
    pub leaving: bool,
    /// Its limit.
    pub limit: LimitStatement,
}

/// What an upstream says about the requests that it takes from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitStatement {
    /// It names no limit.
    None,
    /// It takes no more than this.
    Named(RequestRate),
    /// What it says is no rate; this neither sets nor lifts a limit.
    Unreadable,
}

/// An upstream's report of the orders that it has accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderReport {
    /// The number of orders accepted so far.
    pub orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
}

/// Decodes and encodes the messages of callers, operators and upstreams.
pub trait Protocol: Debug + Send + Sync {
    /// Parses a request that came in on a listener.
    ///
    /// # Errors
    ///
    /// Returns the problem to answer with if the request can't be parsed.
    fn parse_request(
        &self,
        listener: Listener,
        head: &request::Parts,
        body: &Bytes,
    ) -> Result<ParsedRequest, Problem>;

    /// Parses a request's body as a batch job.
    ///
    /// # Errors
    ///
    /// Returns the problem to answer with if the body can't be parsed.
    fn parse_job(&self, head: &request::Parts, body: &Bytes) -> Result<JobBody, Problem>;

    /// Encodes an answer.
    fn encode_answer(&self, answer: &Answer) -> FullReply;

    /// Encodes a caller's request for an upstream.
    fn forward_request(
        &self,
        head: &request::Parts,
        body: &Bytes,
        forward: &Forward,
    ) -> Request<Bytes>;

    /// Returns the id of a request, which upstreams echo.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Classifies the head of an upstream's response to the request with an id.
    fn classify_response(
        &self,
        request_id: Option<&str>,
        upstream: &UpstreamAddress,
        head: &response::Parts,
    ) -> ResponseClass;

    /// Returns what the head of a response to the request with an id, where it has one, says about the
    /// instance at `upstream`; `None` if another instance sent it, or may have.
    fn statements(
        &self,
        request_id: Option<&str>,
        upstream: &UpstreamAddress,
        headers: &HeaderMap,
    ) -> Option<Statements>;

    /// Returns the headers of an upstream's response that are passed on to the caller.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Encodes the request that runs an item.
    fn item_request(&self, run: &RunItem) -> Request<Bytes>;

    /// Encodes a reward call.
    fn reward_request(&self, request: &RewardRequest) -> Request<Bytes>;

    /// Returns the signature of a response, which is the score if it answers a reward call.
    fn signature<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Returns the weight version that the head of a response gives.
    fn weight_version(&self, headers: &HeaderMap) -> Option<u64>;

    /// Returns the name of the event stream field that announces a new weight version.
    fn version_field(&self) -> &str;

    /// Encodes a request for an upstream's order report.
    fn order_report_request(&self, upstream: &UpstreamAddress) -> Request<Bytes>;

    /// Parses an order report; returns `None` where it can't be parsed.
    fn parse_order_report(&self, body: &[u8]) -> Option<OrderReport>;

    /// Encodes an order; `orders_before` is the number of orders that the upstream has accepted.
    fn order_request(&self, order: &Order, orders_before: u64) -> Request<Bytes>;

    /// Encodes a call to the infrastructure provider at an address.
    fn provider_request(&self, call: &ProviderCall, address: &str) -> Request<Bytes>;

    /// Returns how many seconds the upstream keeps an idle connection, where it announces it.
    fn keep_alive_secs(&self, headers: &HeaderMap) -> Option<u64>;
}
