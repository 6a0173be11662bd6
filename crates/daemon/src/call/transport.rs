//! TCP connections on which a reset is an error and not the end of an answer.

use std::io;

use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};

/// Opens the connections of an HTTP client.
///
/// The client ends a body that has no length at the end of its connection, and takes a reset for
/// such an end. Its connections therefore report a reset as another kind of error.
#[derive(Debug, Default)]
pub(super) struct ResetConnector {
    tcp: TcpConnector,
}

impl Connector for ResetConnector {
    type Out = ResetTransport;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        let connected = self.tcp.connect(details, chained)?;
        Ok(connected.map(|transport| ResetTransport { inner: transport.boxed() }))
    }
}

/// A connection of a [`ResetConnector`].
#[derive(Debug)]
pub(super) struct ResetTransport {
    inner: Box<dyn Transport>,
}

impl Transport for ResetTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.inner.await_input(timeout).map_err(reset_as_failure)
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

fn reset_as_failure(error: Error) -> Error {
    match error {
        Error::Io(error)
            if matches!(
                error.kind(),
                io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted
            ) =>
        {
            Error::Io(io::Error::other(error))
        }
        error => error,
    }
}
