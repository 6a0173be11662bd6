//! A small HTTP/1.1 client and server, enough for the stand-ins.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A message: a request on the server's side, a response on the client's.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The method of a request; empty in a response.
    pub method: String,
    /// The path and query of a request.
    pub path: String,
    /// The status of a response; zero in a request.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message; `None` at the end of the connection or if it breaks off.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Message> {
    let end = loop {
        if let Some(at) = find(buf, b"\r\n\r\n") {
            break at;
        }
        fill(stream, buf)?;
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next()?;
    let mut message = Message::default();
    if let Some(rest) = first.strip_prefix("HTTP/1.1 ") {
        message.status = rest.get(..3)?.parse().ok()?;
    } else {
        let mut words = first.split(' ');
        message.method = words.next()?.into();
        message.path = words.next()?.into();
    }
    for line in lines {
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.trim().into(), value.trim().into()));
    }
    let is_chunked = message.header("transfer-encoding") == Some("chunked");
    let length = message.header("content-length").and_then(|length| length.parse::<usize>().ok());
    if is_chunked {
        loop {
            let line_end = loop {
                if let Some(at) = find(buf, b"\r\n") {
                    break at;
                }
                fill(stream, buf)?;
            };
            let size = String::from_utf8_lossy(&buf[..line_end]).into_owned();
            buf.drain(..line_end + 2);
            let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
            while buf.len() < size + 2 {
                fill(stream, buf)?;
            }
            message.body.extend_from_slice(&buf[..size]);
            buf.drain(..size + 2);
            if size == 0 {
                return Some(message);
            }
        }
    }
    if let Some(length) = length {
        while buf.len() < length {
            fill(stream, buf)?;
        }
        message.body = buf.drain(..length).collect();
    }
    Some(message)
}

fn find(buf: &[u8], part: &[u8]) -> Option<usize> {
    buf.windows(part.len()).position(|window| window == part)
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 16 * 1024];
    match stream.read(&mut chunk) {
        Ok(0) | Err(_) => None,
        Ok(read) => {
            buf.extend_from_slice(&chunk[..read]);
            Some(())
        }
    }
}

/// Sends a request on a new connection; `None` if no whole response comes in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Option<Message> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", body.len()));
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let response = read_message(&mut stream, &mut Vec::new());
    let _ = stream.shutdown(Shutdown::Both);
    response
}

/// What a server does with one request on its connection; `false` closes the connection.
pub type Handler = Arc<dyn Fn(&Message, &mut TcpStream) -> bool + Send + Sync>;

/// Serves requests in threads of their own until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), handler) = (stream, Arc::clone(&handler)) else { continue };
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || {
                let mut buf = Vec::new();
                while let Some(request) = read_message(&mut stream, &mut buf) {
                    if !handler(&request, &mut stream) {
                        break;
                    }
                }
            });
        }
    });
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(String, String)],
    body: &[u8],
) -> bool {
    let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}
