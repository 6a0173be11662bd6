//! Measures how `astra`, the in-house default HTTP library, handles a streamed answer and slow
//! senders.
//!
//! docs/DESIGN.md cites the output as the reason why the daemon's HTTP front end uses `hyper`.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const CHUNKS: u32 = 20;
const CHUNK_INTERVAL: Duration = Duration::from_millis(50);
const READ_TIMEOUT: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// A reader that returns a chunk every 50 ms; holds the number of chunks left.
struct ChunkReader(u32);

impl Read for ChunkReader {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.0 == 0 {
            return Ok(0);
        }
        self.0 -= 1;
        std::thread::sleep(CHUNK_INTERVAL);
        let chunk = b"data: {\"piece\":1}\n\n";
        buf[..chunk.len()].copy_from_slice(chunk);
        Ok(chunk.len())
    }
}

fn connect(address: &str) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    Ok(stream)
}

fn measure_stream(address: &'static str, writev: bool) -> std::io::Result<()> {
    std::thread::spawn(move || {
        let server = astra::Server::bind(address).http1_writev(writev);
        server.serve(|_, _| astra::Response::new(astra::Body::wrap_reader(ChunkReader(CHUNKS))))
    });
    std::thread::sleep(Duration::from_millis(200));
    let mut stream = connect(address)?;
    stream.write_all(REQUEST)?;
    let start = Instant::now();
    let mut buf = [0; 4096];
    let mut reads = Vec::new();
    while let Ok(read) = stream.read(&mut buf) {
        if read == 0 {
            break;
        }
        reads.push((start.elapsed().as_millis(), read));
    }
    println!("vectored writes {writev}: {CHUNKS} chunks, one every {CHUNK_INTERVAL:?}");
    println!("  reads as (ms, bytes) within {READ_TIMEOUT:?}: {reads:?}");
    Ok(())
}

fn measure_slow_senders(address: &'static str) -> std::io::Result<()> {
    std::thread::spawn(move || {
        let server = astra::Server::bind(address).max_workers(4);
        server.serve(|_, _| astra::Response::new(astra::Body::new("ok")))
    });
    std::thread::sleep(Duration::from_millis(200));
    let mut slow_clients = Vec::new();
    for _ in 0..4 {
        let mut slow = connect(address)?;
        slow.write_all(b"GET / HT")?;
        slow_clients.push(slow);
    }
    std::thread::sleep(Duration::from_millis(200));
    let mut stream = connect(address)?;
    stream.write_all(REQUEST)?;
    let start = Instant::now();
    let answer = stream.read(&mut [0; 100]).map_err(|error| error.kind());
    println!("4 workers, 4 clients that stop in the request head; a fifth got {answer:?}");
    println!("  after {:?}", start.elapsed());
    Ok(())
}

fn main() -> std::io::Result<()> {
    measure_stream("127.0.0.1:11981", true)?;
    measure_stream("127.0.0.1:11982", false)?;
    measure_slow_senders("127.0.0.1:11983")
}
