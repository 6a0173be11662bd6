//! The HTTP server for callers, trainers, upstreams, operators and the load balancer.
//!
//! It uses `hyper` directly instead of `astra`, our usual HTTP library, which is built on `hyper`:
//! docs/DESIGN.md gives the measurement. The limits and time-outs of connections, heads and bodies
//! are this module's own.

mod coding;
mod metrics;
mod parse;
mod reply;
mod request;
mod router;
mod server;

pub use reply::encode_answer;
pub use server::{HttpServer, HttpServerSettings};

pub(crate) use coding::has_known_coding;
pub(crate) use request::read_body;
pub(crate) use server::{ResponseBody, accept_connections, full_body, full_response};
