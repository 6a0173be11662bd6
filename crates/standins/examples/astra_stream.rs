//! Measures what the house HTTP library does with a streamed answer and with slow senders.
//!
//! docs/DESIGN.md cites its output as the reason why the daemon's HTTP front is built on `hyper`.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

const PIECES: u32 = 20;
const PIECE_EVERY: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_secs(5);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";

/// A stream that gives a piece every 50 ms.
struct Pieces(u32);

impl Read for Pieces {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        if self.0 == 0 {
            return Ok(0);
        }
        self.0 -= 1;
        std::thread::sleep(PIECE_EVERY);
        let piece = b"data: {\"piece\":1}\n\n";
        buf[..piece.len()].copy_from_slice(piece);
        Ok(piece.len())
    }
}

fn connect(address: &str) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

fn measure_stream(address: &'static str, writev: bool) -> std::io::Result<()> {
    std::thread::spawn(move || {
        let server = astra::Server::bind(address).http1_writev(writev);
        server.serve(|_, _| astra::Response::new(astra::Body::wrap_reader(Pieces(PIECES))))
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
    println!("vectored writes {writev}: {PIECES} pieces, one every {PIECE_EVERY:?}");
    println!("  reads as (ms, bytes) within {PATIENCE:?}: {reads:?}");
    Ok(())
}

fn measure_slow_senders(address: &'static str) -> std::io::Result<()> {
    std::thread::spawn(move || {
        let server = astra::Server::bind(address).max_workers(4);
        server.serve(|_, _| astra::Response::new(astra::Body::new("ok")))
    });
    std::thread::sleep(Duration::from_millis(200));
    let mut held = Vec::new();
    for _ in 0..4 {
        let mut slow = connect(address)?;
        slow.write_all(b"GET / HT")?;
        held.push(slow);
    }
    std::thread::sleep(Duration::from_millis(200));
    let mut stream = connect(address)?;
    stream.write_all(REQUEST)?;
    let start = Instant::now();
    let answer = stream.read(&mut [0; 100]).map_err(|error| error.kind());
    println!("4 workers, 4 senders that stop in the head; a fifth caller got {answer:?}");
    println!("  after {:?}", start.elapsed());
    Ok(())
}

fn main() -> std::io::Result<()> {
    measure_stream("127.0.0.1:11981", true)?;
    measure_stream("127.0.0.1:11982", false)?;
    measure_slow_senders("127.0.0.1:11983")
}
