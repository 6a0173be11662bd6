//! The HTTP front for callers, trainers, upstreams, operators and the balancer.
//!
//! The house library for HTTP, `astra`, is replaced by what it is built on, `hyper`: docs/DESIGN.md
//! gives the measurement. Connections, heads and bodies have bounds and time-outs of our own.

mod calls;
mod intake;
mod metrics;
mod reply;
mod router;
mod server;

pub use reply::encode_answer;
pub use server::{HttpServer, HttpServerSettings};

pub(crate) use intake::read_body;
pub(crate) use server::{ResponseBody, accept_connections, full_body, full_response};
