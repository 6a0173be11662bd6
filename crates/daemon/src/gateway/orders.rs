//! Orders to upstreams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutdrift_core::gateway::{Event, Order, OrderEnd, UpstreamAddress};
use crossbeam::channel::Sender;
use http_body_util::BodyExt;
use hyper::Request;

use super::control::Input;
use super::pool::{Pool, SendError};
use super::protocol::{OrderReport, Protocol};
use crate::clock::Clock;

/// How long a new connection to an engine may take.
const CONNECT: Duration = Duration::from_millis(500);

/// How long an engine may take to answer an order or a question.
const ANSWER: Duration = Duration::from_millis(1_500);

/// Gives orders.
#[derive(Debug, Clone)]
pub struct Orders {
    /// What upstreams speak.
    pub protocol: Arc<dyn Protocol>,
    /// The connections.
    pub pool: Pool,
    /// The clock on which leases are counted.
    pub clock: Clock,
    /// Where the end of an order is reported.
    pub inputs: Sender<Input>,
}

impl Orders {
    /// Gives an order and reports its end.
    pub async fn give(self, order: Order) {
        let end = self.send(&order).await;
        let event = Event::OrderEnded { order: order.order, end };
        if self.inputs.send(Input::Event(event)).is_err() {
            log::debug!(event = "report-lost"; "the control thread has ended");
        }
    }

    async fn send(&self, order: &Order) -> OrderEnd {
        let before = match order.orders_before {
            Some(before) => before,
            None => match self.report(&order.upstream).await {
                Some(report) if report.busy => {
                    return OrderEnd::Conflict { orders: Some(report.orders) };
                }
                Some(report) => report.orders,
                None => {
                    return OrderEnd::Unknown { detail: "it does not report its orders".into() };
                }
            },
        };
        if self.clock.time_until(order.valid_until).is_zero() {
            return OrderEnd::Expired;
        }
        let request = self.protocol.order_request(order, before);
        match self.exchange(&order.upstream, &request).await {
            Ok((202, _)) => OrderEnd::Begun { orders: before + 1 },
            Ok((200, _)) => OrderEnd::Holds { orders: Some(before) },
            Ok((409, _)) => {
                let report = self.report(&order.upstream).await;
                OrderEnd::Conflict { orders: report.map(|report| report.orders) }
            }
            Ok((status, _)) => OrderEnd::Refused { status },
            Err(detail) => OrderEnd::Unknown { detail },
        }
    }

    async fn report(&self, upstream: &UpstreamAddress) -> Option<OrderReport> {
        let request = self.protocol.order_report_request(upstream);
        let (status, body) = self.exchange(upstream, &request).await.ok()?;
        if status != 200 {
            return None;
        }
        self.protocol.parse_order_report(&body)
    }

    async fn exchange(
        &self,
        upstream: &UpstreamAddress,
        request: &Request<Bytes>,
    ) -> Result<(u16, Bytes), Box<str>> {
        let exchange = async {
            let sent = self.pool.send(upstream, request, CONNECT).await;
            let (response, connection) = sent.map_err(|error| match error {
                SendError::NotSent(detail) | SendError::Broken(detail) => detail,
            })?;
            let (head, body) = response.into_parts();
            let read = body.collect().await.map_err(|error| Box::from(error.to_string()))?;
            self.pool.keep(upstream, connection, self.protocol.keep_alive_secs(&head.headers));
            Ok((head.status.as_u16(), read.to_bytes()))
        };
        let late = || Box::from(format!("no answer within {ANSWER:?}"));
        tokio::time::timeout(ANSWER, exchange).await.map_err(|_| late())?
    }
}
