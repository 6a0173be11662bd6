//! Orders to upstreams, such as to load weights.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutdrift_core::gateway::{Event, Order, OrderEnd, UpstreamAddress};
use http_body_util::{BodyExt, Limited};
use hyper::Request;

use super::input::{Input, InputSender};
use super::pool::{Pool, SendError};
use super::protocol::{OrderReport, Protocol};
use super::statements::report_statements;
use crate::clock::Clock;

/// The time-out of a new connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time-out of an engine's response to an order or to a request for its order report.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The time-out of the body of a response, after its head has come.
const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// The most bytes of the body of a response to an order or to a request for an order report.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Sends orders to upstreams.
#[derive(Debug, Clone)]
pub struct OrderSender {
    /// The message format of upstreams.
    pub protocol: Arc<dyn Protocol>,
    /// The connections to upstreams.
    pub pool: Pool,
    /// The clock on which leases expire.
    pub clock: Clock,
    /// The queue of the control thread, to which the end of an order is reported.
    pub inputs: InputSender,
}

/// An upstream's answer to a call of its own interface.
#[derive(Debug)]
struct Reply {
    status: u16,
    body: Bytes,
    /// Whether the upstream says that it leaves.
    leaving: bool,
}

/// The outcome of a request for an order report.
#[derive(Debug, Default)]
struct FetchedReport {
    /// `None` where none was returned.
    report: Option<OrderReport>,
    /// Whether the upstream says that it leaves.
    leaving: bool,
}

impl OrderSender {
    /// Sends an order and reports its end to the control thread.
    pub async fn run(self, order: Order) {
        let end = self.execute(&order).await;
        let event = Event::OrderEnded { order: order.order, end };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }

    async fn execute(&self, order: &Order) -> OrderEnd {
        let orders_before = match order.orders_before {
            Some(orders_before) => orders_before,
            None => match self.fetch_report(&order.upstream).await {
                FetchedReport { leaving: true, .. } => return OrderEnd::Leaving,
                FetchedReport { report: Some(report), .. } if report.busy => {
                    return OrderEnd::Conflict { orders: Some(report.orders) };
                }
                FetchedReport { report: Some(report), .. } => report.orders,
                FetchedReport { report: None, .. } => {
                    return OrderEnd::Unknown {
                        detail: "the upstream did not return its order report".into(),
                    };
                }
            },
        };
        if self.clock.time_until(order.valid_until).is_zero() {
            return OrderEnd::Expired;
        }
        let request = self.protocol.order_request(order, orders_before);
        match self.send_request(&order.upstream, &request, "order").await {
            Ok(Reply { status: 202, .. }) => OrderEnd::Begun { orders: orders_before + 1 },
            Ok(Reply { status: 200, .. }) => OrderEnd::Holds { orders: Some(orders_before) },
            Ok(Reply { status: 409, .. }) => {
                let fetched = self.fetch_report(&order.upstream).await;
                OrderEnd::Conflict { orders: fetched.report.map(|report| report.orders) }
            }
            Ok(Reply { status, .. }) => OrderEnd::Refused { status },
            Err(detail) => OrderEnd::Unknown { detail },
        }
    }

    async fn fetch_report(&self, upstream: &UpstreamAddress) -> FetchedReport {
        let request = self.protocol.order_report_request(upstream);
        let reply = match self.send_request(upstream, &request, "report").await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!(event = "no-order-report", upstream = &*upstream.id; "{error}");
                return FetchedReport::default();
            }
        };
        let is_report = reply.status == 200;
        let report = is_report.then(|| self.protocol.parse_order_report(&reply.body)).flatten();
        FetchedReport { report, leaving: reply.leaving }
    }

    async fn send_request(
        &self,
        upstream: &UpstreamAddress,
        request: &Request<Bytes>,
        call: &str,
    ) -> Result<Reply, Box<str>> {
        let sent = self.pool.send(upstream, request, None, CONNECT_TIMEOUT);
        let Ok(sent) = tokio::time::timeout(RESPONSE_TIMEOUT, sent).await else {
            return Err(format!("no response within {RESPONSE_TIMEOUT:?}").into());
        };
        let (response, connection) = sent.map_err(|error| match error {
            SendError::NotSent(detail) | SendError::Refused(detail) | SendError::Broken(detail) => {
                detail
            }
        })?;
        let (head, body) = response.into_parts();
        // These calls carry no id, so an answer with one is a late copy of another request's answer.
        let id = self.protocol.request_id(&head.headers).unwrap_or_default();
        if !id.is_empty() {
            return Err(format!("the response belongs to request {id}").into());
        }
        let status = head.status.as_u16();
        let protocol = &*self.protocol;
        let leaving = report_statements(protocol, &self.inputs, upstream, &head, None, call);
        let body = Limited::new(body, MAX_BODY_BYTES).collect();
        match tokio::time::timeout(BODY_TIMEOUT, body).await {
            Ok(Ok(body)) => {
                let keep_alive_secs = self.protocol.keep_alive_secs(&head.headers);
                self.pool.release(upstream, connection, keep_alive_secs);
                Ok(Reply { status, body: body.to_bytes(), leaving })
            }
            // The status alone tells the end of an order; a report needs its body.
            unread => {
                let why = unread.map_or_else(|late| late.to_string(), |read| format!("{read:?}"));
                log::warn!(event = "order-body-unread", upstream = &*upstream.id; "{why}");
                Ok(Reply { status, body: Bytes::new(), leaving })
            }
        }
    }
}
