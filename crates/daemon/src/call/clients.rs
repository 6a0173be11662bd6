//! HTTP clients with their time-outs, and the mapping of their errors to ends of attempts.

use std::io;
use std::time::Duration;

use chestnutdrift_core::event::AttemptEnd;
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::{Agent, Error, Timeout};

use super::transport::ResetConnector;

/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The size of the read buffer and of the write buffer of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// The most idle connections kept to one address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// The most idle connections kept to all addresses together.
const MAX_IDLE_CONNECTIONS: usize = 512;

/// How long an idle connection is kept; shorter than upstreams keep theirs, so that this side
/// closes first.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);

/// The HTTP clients for calls to upstreams and other hosts.
#[derive(Debug, Clone)]
pub struct HttpClients {
    /// Reuses connections.
    pub pooled: Agent,
    /// Opens a connection for each request, so that a connection that the other side closed while
    /// it was idle can't be mistaken for a lost request.
    pub unpooled: Agent,
}

impl HttpClients {
    /// Creates the clients.
    #[must_use]
    pub fn new() -> Self {
        let pooled = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_PER_ADDRESS)
            .max_idle_age(MAX_IDLE_AGE)
            .max_redirects(0)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .build();
        let unpooled = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(0)
            .max_redirects(0)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .build();
        Self { pooled: agent(pooled), unpooled: agent(unpooled) }
    }
}

fn agent(config: Config) -> Agent {
    Agent::with_parts(config, ResetConnector::default(), DefaultResolver::default())
}

impl Default for HttpClients {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the end of an attempt whose request failed.
///
/// The request counts as not sent only if no connection was made.
#[must_use]
pub(super) fn end_from_error(error: &Error) -> AttemptEnd {
    let detail = error.to_string().into();
    let not_sent = match error {
        Error::ConnectionFailed | Error::HostNotFound | Error::Timeout(Timeout::Connect) => true,
        Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if not_sent { AttemptEnd::NotSent { detail } } else { AttemptEnd::Broken { detail } }
}
