//! A relayed connection, as a stream of bytes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use futures_util::{Sink, Stream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use super::{MAX_MESSAGE_BYTES, Signal};

/// The bytes of a relayed connection.
#[derive(Debug)]
pub(in crate::gateway) struct RelayedStream {
    socket: WebSocketStream<TcpStream>,
    unread: Bytes,
    /// Whether the upstream's bytes have ended.
    ended: bool,
    leaving: Arc<AtomicBool>,
}

impl RelayedStream {
    pub(super) fn new(socket: WebSocketStream<TcpStream>) -> Self {
        Self { socket, unread: Bytes::new(), ended: false, leaving: Arc::default() }
    }

    /// Returns what tells whether the relaying host stops, so that no other request may follow.
    pub(in crate::gateway) fn leaving(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.leaving)
    }

    fn socket(&mut self) -> Pin<&mut WebSocketStream<TcpStream>> {
        Pin::new(&mut self.socket)
    }
}

impl AsyncRead for RelayedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() && !self.ended {
            match ready!(self.socket().poll_next(cx)) {
                Some(Ok(Message::Binary(bytes))) => self.unread = bytes,
                Some(Ok(Message::Close(_))) => self.ended = true,
                Some(Ok(Message::Text(text))) if text.as_str() == Signal::Leaving.name() => {
                    self.leaving.store(true, Ordering::Relaxed);
                }
                Some(Ok(_)) => {}
                Some(Err(error)) => return Poll::Ready(Err(io::Error::other(error))),
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        let count = self.unread.len().min(buf.remaining());
        buf.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        ready!(self.socket().poll_ready(cx)).map_err(io::Error::other)?;
        let count = buf.len().min(MAX_MESSAGE_BYTES);
        let message = Message::Binary(Bytes::copy_from_slice(&buf[..count]));
        self.socket().start_send(message).map_err(io::Error::other)?;
        Poll::Ready(Ok(count))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_flush(cx).map_err(io::Error::other)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.socket().poll_close(cx).map_err(io::Error::other)
    }
}
