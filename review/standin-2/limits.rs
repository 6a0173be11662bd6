//! The operator raises the limit on request heads, and callers use it on connections that they keep.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::deployment::{Deployment, Log};
use crate::http::{Message, read_message};
use crate::trainer::{HOST, config};
use crate::worker::{WeightStore, Worker, announce};

const CONFIG: Duration = Duration::from_millis(2_500);

/// The connections that clients keep, over all fronts.
const CONNECTIONS: usize = 24;

/// More than five requests and one in 500 of all.
const ALLOWED: f64 = 5.0;
const ALLOWED_SHARE: f64 = 1.0 / 500.0;

struct Client {
    number: usize,
    stream: TcpStream,
    buf: Vec<u8>,
    sent: usize,
}

pub fn play(log: &Log, temp: &Path, trouble: bool) -> Verdict {
    let mut deployment = Deployment::new(log.clone(), temp, 3, 3);
    deployment.start_all();
    let weights = WeightStore::open();
    let controls: Vec<_> =
        deployment.names("store").iter().map(|name| deployment.control(name)).collect();
    let doors: Vec<_> =
        deployment.names("entry").iter().map(|name| deployment.front(name)).collect();
    let zones = ["zone-a", "zone-b", "zone-c"];
    let start =
        |(number, zone)| Worker::start(log, &weights, &format!("i-desk{number}"), "desk", zone, 6);
    let workers: Vec<_> = zones.into_iter().enumerate().map(start).collect();
    let second = Duration::from_secs(1);
    let wide = config(5).replace("\"maxHeaderBytes\":16384", "\"maxHeaderBytes\":65536");
    // Without the change, the wider limit holds from the start.
    let first = if trouble { config(5) } else { wide.clone() };
    if !deployment.operator_call("PUT", "/api/config", &first, 20 * second) {
        return Verdict::CouldNotRun;
    }
    announce(&workers, controls);
    if !deployment.wait_ready(20 * second) {
        return Verdict::CouldNotRun;
    }
    sleep(2 * second);
    let mut clients = Vec::new();
    for number in 0..CONNECTIONS {
        let Some(client) = Client::connect(number, doors[number % doors.len()]) else {
            return Verdict::CouldNotRun;
        };
        clients.push(client);
    }
    let (mut requests, mut denied) = (0, 0);
    for round in 0..5 {
        if round == 2 && trouble {
            let next = wide.replace("\"version\":5", "\"version\":9");
            if !deployment.operator_call("PUT", "/api/config", &next, 10 * second) {
                return Verdict::CouldNotRun;
            }
            // All fronts have it in force from then on.
            sleep(2 * CONFIG);
        }
        // From the fourth round on the heads are longer than the first limit, and in the new one.
        let padding = if round < 3 { 200 } else { 24 * 1024 };
        for client in &mut clients {
            let Some(answer) = client.request(padding) else {
                log.note(format!("client {}: no answer, the connection is closed", client.number));
                continue;
            };
            requests += 1;
            let own = answer.header("Chestnutdrift-Response-Seal").is_none();
            let status = answer.status;
            log.note(format!(
                "client {}, request {} on its connection, head of about {padding} bytes: {status}",
                client.number, client.sent
            ));
            if own && (300..500).contains(&status) && ![408, 421, 429].contains(&status) {
                denied += 1;
            }
        }
        sleep(second);
    }
    log.note(format!("{denied} of {requests} proper requests were denied"));
    let allowed = ALLOWED + f64::from(requests) * ALLOWED_SHARE;
    if f64::from(denied) > allowed { Verdict::Broken } else { Verdict::Held }
}

impl Client {
    fn connect(number: usize, front: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        Some(Self { number, stream, buf: Vec::new(), sent: 0 })
    }

    /// Sends a request on the connection, with a list of prompt parts of about `padding` bytes.
    fn request(&mut self, padding: usize) -> Option<Message> {
        self.sent += 1;
        let id = format!("c{:03x}{:04x}", self.number, self.sent);
        let parts: Vec<String> = (0..padding / 16).map(|part| format!("{part:012x}:16")).collect();
        let request = format!(
            "POST /desk/{id} HTTP/1.1\r\nHost: {HOST}\r\nChestnutdrift-Request-Id: {id}\r\n\
             Chestnutdrift-Deadline-Ms: 1200\r\nChestnutdrift-Prompt-Prefix: {}\r\n\
             Content-Length: 4\r\n\r\nbook",
            parts.join(",")
        );
        self.stream.write_all(request.as_bytes()).ok()?;
        read_message(&mut self.stream, &mut self.buf)
    }
}
