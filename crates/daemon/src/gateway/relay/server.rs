//! Relays connections for other hosts.

use std::io::ErrorKind;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use chestnutdrift_core::RequestTag;
use chestnutdrift_core::gateway::{Answer, Call, IncomingCall};
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, watch};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::{self, Message};

use super::Signal;
use crate::gateway::control::{Directive, MAX_QUEUED_DIRECTIVES};
use crate::gateway::input::Input;
use crate::gateway::pool::set_upstream_options;
use crate::gateway::server::{DisconnectGuard, Server};
use crate::link::RelayService;

/// How long the upstream may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// The size of the buffer for the upstream's bytes.
const BUFFER_BYTES: usize = 16 * 1024;

type Socket = WebSocketStream<TcpStream>;

/// Relays connections to the upstreams that the gateway knows.
#[derive(Debug)]
pub(in crate::gateway) struct RelayServer {
    /// The server whose inputs, tags and state are used.
    pub(in crate::gateway) server: Arc<Server>,
}

impl RelayService for RelayServer {
    fn serve(&self, socket: Socket, upstream_id: Box<str>) {
        tokio::spawn(run(Arc::clone(&self.server), socket, upstream_id));
    }
}

async fn run(server: Arc<Server>, mut socket: Socket, upstream_id: Box<str>) {
    let tag = RequestTag(server.next_tag.fetch_add(1, Ordering::Relaxed));
    let guard = DisconnectGuard { inputs: server.inputs.clone(), tag, armed: true };
    // The process waits for this permit before it ends.
    let permit = Arc::clone(&server.streams).try_acquire_owned();
    let opened = match relay_address(&server, tag, upstream_id).await {
        Some(address) if permit.is_ok() => connect(&address).await,
        _ => Err(Signal::Declined),
    };
    let signal = opened.as_ref().err().copied().unwrap_or(Signal::Open);
    let told = send_signal(&mut socket, signal).await;
    let (Ok(upstream), Ok(())) = (opened, told) else { return };
    if let Err(error) = super::set_link_options(socket.get_ref()) {
        log::debug!(event = "relay-options"; "{error}");
    }
    let (sink, source) = socket.split();
    let (from_upstream, to_upstream) = upstream.into_split();
    tokio::select! {
        () = pass_down(&server, from_upstream, sink) => {}
        () = pass_up(source, to_upstream) => {}
    }
    drop((guard, permit));
}

/// Asks the gateway whether a connection to an upstream may be relayed, and returns its address.
async fn relay_address(server: &Server, tag: RequestTag, upstream: Box<str>) -> Option<Box<str>> {
    let (tx, mut rx) = mpsc::channel(MAX_QUEUED_DIRECTIVES);
    let trace = upstream.clone();
    let call = IncomingCall { tag, trace, wait_limit: None, call: Call::Relay { upstream } };
    server.inputs.try_send(Input::Open(call, tx)).ok()?;
    match rx.recv().await? {
        Directive::Answer(Answer::RelayTo { address }) => Some(address),
        _ => None,
    }
}

async fn connect(address: &str) -> Result<TcpStream, Signal> {
    let upstream = match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(upstream)) => upstream,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Err(Signal::Refused);
        }
        Ok(Err(_)) | Err(_) => return Err(Signal::Unreachable),
    };
    set_upstream_options(&upstream).map_err(|_| Signal::Unreachable)?;
    Ok(upstream)
}

async fn send_signal<S>(sink: &mut S, signal: Signal) -> Result<(), tungstenite::Error>
where
    S: SinkExt<Message, Error = tungstenite::Error> + Unpin,
{
    sink.send(Message::Text(signal.name().into())).await
}

/// Passes the upstream's bytes on until they end. Only a proper end closes the WebSocket.
async fn pass_down(
    server: &Server,
    mut upstream: OwnedReadHalf,
    mut sink: SplitSink<Socket, Message>,
) {
    let mut draining = server.state.watch_draining();
    let mut told = false;
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let read = tokio::select! {
            read = upstream.read(&mut buf) => read,
            () = is_draining(&mut draining), if !told => {
                told = true;
                if send_signal(&mut sink, Signal::Leaving).await.is_err() {
                    return;
                }
                continue;
            }
        };
        let message = match read {
            Ok(0) => Message::Close(None),
            Ok(count) => Message::Binary(Bytes::copy_from_slice(&buf[..count])),
            Err(error) => {
                log::debug!(event = "relay-broken"; "{error}");
                return;
            }
        };
        let is_end = matches!(message, Message::Close(_));
        if sink.send(message).await.is_err() || is_end {
            return;
        }
    }
}

async fn is_draining(draining: &mut watch::Receiver<bool>) {
    // The sender lives as long as the server.
    let _ = draining.wait_for(|draining| *draining).await;
}

/// Passes bytes on to the upstream until the host that sends them closes the connection.
async fn pass_up(mut source: SplitStream<Socket>, mut upstream: OwnedWriteHalf) {
    while let Some(Ok(message)) = source.next().await {
        match message {
            Message::Binary(bytes) if upstream.write_all(&bytes).await.is_ok() => {}
            Message::Ping(_) | Message::Pong(_) => {}
            _ => return,
        }
    }
}
