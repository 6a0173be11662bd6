//! HTTP clients with their time-outs, and what their errors say about whether a request ran.

use std::io;
use std::time::Duration;

use chestnutdrift_core::event::AttemptEnd;
use ureq::{Agent, Error, Timeout};

/// How long a connection may take to be made.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The size of the buffers of one connection, in bytes.
const BUFFER: usize = 16 * 1024;

/// Idle connections kept to one address.
const IDLE_PER_ADDRESS: usize = 32;

/// Idle connections kept in all.
const IDLE_CONNECTIONS: usize = 512;

/// How long an idle connection is kept; shorter than upstreams keep theirs.
const IDLE_AGE: Duration = Duration::from_secs(3);

/// The clients of this process.
#[derive(Debug, Clone)]
pub struct HttpClients {
    /// Keeps connections for further requests.
    pub pooled: Agent,
    /// Makes a connection for each request, so that a connection closed by the other side while
    /// idle can't be mistaken for a request that was lost.
    pub unpooled: Agent,
}

impl HttpClients {
    /// Makes the clients.
    #[must_use]
    pub fn new() -> Self {
        let pooled = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(IDLE_CONNECTIONS)
            .max_idle_connections_per_host(IDLE_PER_ADDRESS)
            .max_idle_age(IDLE_AGE)
            .max_redirects(0)
            .input_buffer_size(BUFFER)
            .output_buffer_size(BUFFER)
            .build();
        let unpooled = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(0)
            .max_redirects(0)
            .input_buffer_size(BUFFER)
            .output_buffer_size(BUFFER)
            .build();
        Self { pooled: pooled.new_agent(), unpooled: unpooled.new_agent() }
    }
}

impl Default for HttpClients {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the end of an attempt whose client failed: not sent only where no connection was made.
#[must_use]
pub(super) fn end_of(error: &Error) -> AttemptEnd {
    let detail = error.to_string().into();
    let not_sent = match error {
        Error::ConnectionFailed | Error::HostNotFound | Error::Timeout(Timeout::Connect) => true,
        Error::Io(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if not_sent { AttemptEnd::NotSent { detail } } else { AttemptEnd::Broken { detail } }
}
