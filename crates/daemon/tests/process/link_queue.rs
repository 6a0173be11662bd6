//! The queues of messages to other hosts, and the memory limit.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};

use bytes::Bytes;
use chestnutdrift_core::agreement::{Command, Entry, GroupFrame, GroupId, GroupMessage};
use chestnutdrift_core::directory::{DirectoryCommand, ItemOutcome, ItemResult, NewResult};
use chestnutdrift_core::gateway::{GatewayMessage, StoreReply, StoreRequest};
use chestnutdrift_core::message::{Envelope, Message};
use chestnutdrift_core::timeline::Stamp;
use chestnutdrift_core::{HostId, Millis};
use chestnutdrift_daemon::link::{self, Links};
use chestnutdrift_standins::ports::free_addresses;
use chestnutdrift_standins::process::wait_until;
use chestnutdrift_wire::frame::{self, Encoder};
use tokio_tungstenite::tungstenite::{self, WebSocket};

use crate::fixture::WAIT_TIMEOUT;

const MIB: usize = 1_024 * 1_024;

/// The messages of all links may take a tenth of it, the large ones three quarters of that: 2.4 MiB.
pub(crate) const MEMORY_LIMIT: usize = 32 * MIB;

pub(crate) const APPEND_BYTES: usize = 128 * 1_024;

/// The number of large messages that are sent: more than three times as many bytes as may wait.
const APPENDS: u64 = 80;

const SLOW: HostId = HostId(2);
const OTHER: HostId = HostId(3);

fn envelope(message: GroupMessage) -> Envelope {
    let frame = GroupFrame { group: GroupId::Directory, epoch: 1, message };
    Envelope { from: HostId(1), stamp: Stamp::default(), message: Message::Group(frame) }
}

pub(crate) fn append(index: u64) -> Envelope {
    append_of(index, APPEND_BYTES)
}

fn append_of(index: u64, bytes: usize) -> Envelope {
    let text = "a".repeat(bytes).into();
    let outcome = ItemOutcome::Completed { text, versions: vec![1], score: None };
    let results = vec![NewResult::with_whole_text(ItemResult { item: 0, outcome })];
    let command =
        Command::Directory(DirectoryCommand::AppendResults { job: "job".into(), results });
    let entries = vec![Entry { index, term: 1, command }];
    let (prev_index, prev_term, sent_at) = (index - 1, 1, Millis(0));
    let leader_commit = 0;
    let message = GroupMessage::AppendEntries {
        term: 1,
        prev_index,
        prev_term,
        entries,
        leader_commit,
        sent_at,
    };
    envelope(message)
}

pub(crate) fn vote(term: u64) -> Envelope {
    envelope(GroupMessage::VoteReply { term, granted: true, pre_vote: false })
}

/// A host that accepts one link, and reads its messages once it is told to.
struct Peer {
    address: SocketAddr,
    begin: Sender<()>,
    messages: Receiver<GroupMessage>,
}

impl Peer {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
        let address = listener.local_addr().expect("an address");
        let (begin, begun) = mpsc::channel();
        let (tx, messages) = mpsc::channel();
        std::thread::spawn(move || read_link(&listener, &begun, &tx));
        Self { address, begin, messages }
    }

    fn receive(&self) -> GroupMessage {
        self.messages.recv_timeout(WAIT_TIMEOUT).expect("a message")
    }
}

fn read_link(listener: &TcpListener, begun: &Receiver<()>, messages: &Sender<GroupMessage>) {
    let (stream, _) = listener.accept().expect("a link");
    begun.recv().expect("the test continues");
    let mut link = tungstenite::accept(stream).expect("a handshake");
    while let Ok(message) = link.read() {
        let tungstenite::Message::Binary(bytes) = message else { continue };
        let envelope = frame::decode(&bytes).expect("a message");
        let Message::Group(frame) = envelope.message else { continue };
        if messages.send(frame.message).is_err() {
            return;
        }
    }
}

fn links_to(peers: &[(HostId, &Peer)]) -> Links {
    let runtime = link::socket_runtime("test-links").expect("a runtime");
    let own = free_addresses(1).expect("a free address")[0];
    let addresses: BTreeMap<HostId, SocketAddr> =
        peers.iter().map(|(host, peer)| (*host, peer.address)).collect();
    let limit = Some(MEMORY_LIMIT as u64);
    Links::start(runtime, own, Box::new(addresses), Arc::new(|_| true), limit).expect("links")
}

/// Guards against links to slow hosts whose queues held more bytes than the process may use.
#[test]
fn messages_for_a_slow_host_take_a_bounded_share_of_the_memory() {
    let (slow, other) = (Peer::start(), Peer::start());
    let mut links = links_to(&[(SLOW, &slow), (OTHER, &other)]);
    for index in 1..=APPENDS {
        links.send(SLOW, append(index));
    }
    let queued = links.queued_bytes();
    assert!(queued <= MEMORY_LIMIT / 10, "{queued} bytes wait");

    links.send(SLOW, vote(7));
    links.send(OTHER, append(1));
    other.begin.send(()).expect("the peer runs");
    assert!(matches!(other.receive(), GroupMessage::AppendEntries { .. }));

    slow.begin.send(()).expect("the peer runs");
    let mut appends = 0;
    while matches!(slow.receive(), GroupMessage::AppendEntries { .. }) {
        appends += 1;
    }
    assert!(appends > 0 && appends < APPENDS, "{appends} appends before the vote");
    wait_until("the bytes are released", WAIT_TIMEOUT, || links.queued_bytes() == 0)
        .expect("the bytes are released");
    links.close();
}

/// Guards against logs that stand still because the entry of a large job never fits beside the
/// messages that wait for other hosts.
#[test]
fn one_message_that_exceeds_the_share_passes_while_others_wait() {
    let (slow, other) = (Peer::start(), Peer::start());
    let mut links = links_to(&[(SLOW, &slow), (OTHER, &other)]);
    for index in 1..=APPENDS {
        links.send(SLOW, append(index));
    }
    let queued = links.queued_bytes();
    for index in 1..=3 {
        links.send(OTHER, append_of(index, MEMORY_LIMIT / 10));
    }
    assert!(links.queued_bytes() < queued + MEMORY_LIMIT / 10 + APPEND_BYTES);
    other.begin.send(()).expect("the peer runs");
    assert!(matches!(other.receive(), GroupMessage::AppendEntries { prev_index: 0, .. }));
    links.close();
}

/// Returns the answer to a read of `bytes` bytes.
fn answer(bytes: usize) -> Envelope {
    let reply = StoreReply::Body(vec![0; bytes].into());
    let message = Message::Gateway(Box::new(GatewayMessage::Reply { boot_id: 1, key: 1, reply }));
    Envelope { from: HostId(1), stamp: Stamp::default(), message }
}

/// Guards against logs that stand still because answers for many slow hosts leave no room for the
/// appends to others.
#[test]
fn answers_for_many_slow_hosts_leave_room_for_appends() {
    const SLOW_HOSTS: u32 = 12;
    const SENT_APPENDS: u64 = 3;
    let slow: Vec<(HostId, Peer)> =
        (0..SLOW_HOSTS).map(|number| (HostId(10 + number), Peer::start())).collect();
    let other = Peer::start();
    let mut peers: Vec<(HostId, &Peer)> = slow.iter().map(|(host, peer)| (*host, peer)).collect();
    peers.push((OTHER, &other));
    let mut links = links_to(&peers);
    for (host, _) in &slow {
        for _ in 0..APPENDS {
            links.send(*host, answer(APPEND_BYTES / 4));
        }
    }
    for index in 1..=SENT_APPENDS {
        links.send(OTHER, append(index));
    }
    links.send(OTHER, vote(7));
    let queued = links.queued_bytes();
    assert!(queued <= MEMORY_LIMIT / 10, "{queued} bytes wait");
    other.begin.send(()).expect("the peer runs");
    let mut appends = 0;
    while matches!(other.receive(), GroupMessage::AppendEntries { .. }) {
        appends += 1;
    }
    assert_eq!(appends, SENT_APPENDS);
    links.close();
}

/// A message whose contents are `bytes` long, and shrink much when they are deflated.
fn long_message(bytes: usize) -> Envelope {
    let request =
        StoreRequest::EndJob { job: "a".repeat(bytes).into(), workspace: None, host: None };
    let message = GatewayMessage::Request { boot_id: 1, key: 1, request };
    let message = Message::Gateway(Box::new(message));
    Envelope { from: HostId(1), stamp: Stamp::default(), message }
}

/// Guards against a received message that alone took more memory than the process may use.
#[test]
fn a_message_that_exceeds_its_share_of_the_memory_is_not_read() {
    let runtime = link::socket_runtime("test-links").expect("a runtime");
    let address = free_addresses(1).expect("a free address")[0];
    let limit = Some(MEMORY_LIMIT as u64);
    let (tx, received) = mpsc::channel();
    let deliver = Arc::new(move |envelope| tx.send(envelope).is_ok());
    let addresses = Box::new(BTreeMap::<HostId, SocketAddr>::new());
    let links = Links::start(runtime, address, addresses, deliver, limit).expect("links");
    let connect = || {
        let stream = TcpStream::connect(address).expect("a connection");
        tungstenite::client(format!("ws://{address}/"), stream).expect("a handshake").0
    };
    let send = |link: &mut WebSocket<TcpStream>, bytes: Bytes| {
        link.send(tungstenite::Message::Binary(bytes)).expect("a link");
    };
    let encode = |message: &Envelope| Encoder::default().encode(message).expect("bytes");

    let mut link = connect();
    send(&mut link, encode(&long_message(MEMORY_LIMIT / 2)));
    send(&mut link, encode(&vote(7)));
    assert_eq!(received.recv_timeout(WAIT_TIMEOUT), Ok(vote(7)));

    let padding = Bytes::from(vec![0; MEMORY_LIMIT / 2]);
    // The host may close the link before all bytes are sent.
    let _ = link.send(tungstenite::Message::Binary(padding));
    while link.read().is_ok() {}
    send(&mut connect(), encode(&vote(8)));
    assert_eq!(received.recv_timeout(WAIT_TIMEOUT), Ok(vote(8)));
    links.close();
}
