//! What callers, operators and upstreams speak with a gateway.

use std::fmt::Debug;

use bytes::Bytes;
use chestnutdrift_core::gateway::{
    Answer, Call, Forward, JobBody, Order, RunItem, UpstreamAddress,
};
use chestnutdrift_core::{Millis, Problem};
use hyper::http::{request, response};
use hyper::{HeaderMap, Request};

use crate::exchange::FullReply;

/// A listening address, by who calls it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Listener {
    /// Callers and trainers.
    Callers,
    /// The balancer, which asks whether the host takes requests.
    Readiness,
    /// Operators, trainers and upstreams.
    Control,
    /// The metrics page, and what the command-line tool reads back.
    Metrics,
}

/// A request, read.
#[derive(Debug)]
pub struct ParsedRequest {
    /// The name that logs use.
    pub trace: Box<str>,
    /// How long the caller will wait, where it says so.
    pub wait_limit: Option<Millis>,
    /// What is asked.
    pub call: Call,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request ran and succeeded.
    Success,
    /// The request ran, or may have, and failed.
    Failure,
    /// The upstream did not run the request.
    NotRun {
        /// Whether another upstream has the address.
        other_instance: bool,
    },
    /// The answer does not belong to the request.
    Mismatched,
}

/// What an upstream reports before or after an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderReport {
    /// The number of orders that it has accepted.
    pub orders: u64,
    /// Whether one is in progress.
    pub busy: bool,
}

/// Reads and writes the messages of callers, operators and upstreams.
pub trait Protocol: Debug + Send + Sync {
    /// Reads a request that came in by a door.
    ///
    /// # Errors
    ///
    /// Returns the problem that answers a request that can't be read.
    fn parse_request(
        &self,
        door: Listener,
        head: &request::Parts,
        body: &Bytes,
    ) -> Result<ParsedRequest, Problem>;

    /// Reads a request's body as a batch job.
    ///
    /// # Errors
    ///
    /// Returns the problem that answers a body that can't be read.
    fn parse_job(&self, head: &request::Parts, body: &Bytes) -> Result<JobBody, Problem>;

    /// Writes an answer.
    fn encode_answer(&self, answer: &Answer) -> FullReply;

    /// Writes a caller's request for an upstream.
    fn forward_request(
        &self,
        head: &request::Parts,
        body: &Bytes,
        forward: &Forward,
    ) -> Request<Bytes>;

    /// Returns the name of a request that an upstream echoes.
    fn request_id<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Judges the head of an upstream's answer to the request with a name.
    fn classify_response(
        &self,
        name: Option<&str>,
        upstream: &UpstreamAddress,
        head: &response::Parts,
    ) -> ResponseClass;

    /// Returns the headers of an upstream's answer that callers get.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Writes an item's request.
    fn item_request(&self, run: &RunItem) -> Request<Bytes>;

    /// Returns the weight version that the head of an answer names.
    fn weight_version(&self, headers: &HeaderMap) -> Option<u64>;

    /// Returns the name of the field by which an event of a stream names a new weight version.
    fn version_field(&self) -> &str;

    /// Writes the question how many orders an upstream has accepted.
    fn order_report_request(&self, upstream: &UpstreamAddress) -> Request<Bytes>;

    /// Reads the answer to that question.
    fn parse_order_report(&self, body: &[u8]) -> Option<OrderReport>;

    /// Writes an order; `orders_before` is the number of orders that the upstream has accepted.
    fn order_request(&self, order: &Order, orders_before: u64) -> Request<Bytes>;

    /// Returns how many seconds an idle connection to an upstream stays open, where it says so.
    fn keep_alive_secs(&self, headers: &HeaderMap) -> Option<u64>;
}
