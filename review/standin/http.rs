//! A small HTTP/1.1 client and server side over blocking sockets.

use std::io::{BufRead, BufReader, Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a message, and its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body; empty if it was not read.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }
}

fn invalid(detail: &str) -> Error {
    Error::other(detail.to_string())
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(from: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { start: line.trim_end().to_string(), ..Message::default() };
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(invalid("the head was cut off"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("a malformed header"))?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
    }
}

/// Reads the body that a head announces; a response without a length ends with its connection.
pub fn read_body(
    from: &mut BufReader<TcpStream>,
    head: &Message,
    is_request: bool,
) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(invalid("the body was cut off"));
            }
            let size =
                usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("a malformed chunk"))?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match head.header("content-length") {
        Some(length) => {
            body = vec![0; length.parse().map_err(|_| invalid("a malformed length"))?];
            from.read_exact(&mut body)?;
        }
        None if is_request => {}
        None => {
            from.read_to_end(&mut body)?;
        }
    }
    Ok(body)
}

/// Encodes a request.
pub fn request(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Opens a connection on which each read and write ends after `timeout`.
pub fn connect(to: SocketAddr, timeout: Duration) -> Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends a request on a connection of its own and reads the whole answer.
pub fn call(
    to: SocketAddr,
    (method, path): (&str, &str),
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> Result<Message> {
    let mut stream = connect(to, timeout)?;
    stream.write_all(&request(method, path, headers, body))?;
    let mut from = BufReader::new(stream);
    let mut head = read_head(&mut from)?.ok_or_else(|| invalid("no answer"))?;
    head.body = read_body(&mut from, &head, false)?;
    Ok(head)
}
