//! Orders to upstreams, such as to load weights.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutdrift_core::gateway::{Event, Order, OrderEnd, UpstreamAddress};
use http_body_util::BodyExt;
use hyper::Request;

use super::input::{Input, InputSender};
use super::pool::{Pool, SendError};
use super::protocol::{OrderReport, Protocol};
use crate::clock::Clock;

/// The time-out of a new connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The time-out of an engine's response to an order or to a request for its order report.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

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
                Some(report) if report.busy => {
                    return OrderEnd::Conflict { orders: Some(report.orders) };
                }
                Some(report) => report.orders,
                None => {
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
        match self.send_request(&order.upstream, &request).await {
            Ok((202, _)) => OrderEnd::Begun { orders: orders_before + 1 },
            Ok((200, _)) => OrderEnd::Holds { orders: Some(orders_before) },
            Ok((409, _)) => {
                let report = self.fetch_report(&order.upstream).await;
                OrderEnd::Conflict { orders: report.map(|report| report.orders) }
            }
            Ok((status, _)) => OrderEnd::Refused { status },
            Err(detail) => OrderEnd::Unknown { detail },
        }
    }

    async fn fetch_report(&self, upstream: &UpstreamAddress) -> Option<OrderReport> {
        let request = self.protocol.order_report_request(upstream);
        let (status, body) = self.send_request(upstream, &request).await.ok()?;
        if status != 200 {
            return None;
        }
        self.protocol.parse_order_report(&body)
    }

    async fn send_request(
        &self,
        upstream: &UpstreamAddress,
        request: &Request<Bytes>,
    ) -> Result<(u16, Bytes), Box<str>> {
        let roundtrip = async {
            let sent = self.pool.send(upstream, request, CONNECT_TIMEOUT).await;
            let (response, connection) = sent.map_err(|error| match error {
                SendError::NotSent(detail) | SendError::Broken(detail) => detail,
            })?;
            let (head, body) = response.into_parts();
            let read = body.collect().await.map_err(|error| Box::from(error.to_string()))?;
            self.pool.release(upstream, connection, self.protocol.keep_alive_secs(&head.headers));
            Ok((head.status.as_u16(), read.to_bytes()))
        };
        let timed_out = || Box::from(format!("no response within {RESPONSE_TIMEOUT:?}"));
        tokio::time::timeout(RESPONSE_TIMEOUT, roundtrip).await.map_err(|_| timed_out())?
    }
}
