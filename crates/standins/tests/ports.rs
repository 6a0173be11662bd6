//! The addresses that fleets get stay free until their daemons bind them.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};

use chestnutdrift_standins::ports::free_addresses;

const ROUNDS: usize = 2_000;

/// More than one block has.
const ADDRESSES: usize = 500;

const OTHER_PROCESSES: usize = 3;

/// The variable that makes the test of other processes print its addresses and wait for its input
/// to end.
const PRINT_VARIABLE: &str = "CHESTNUTDRIFT_TEST_PRINT_ADDRESSES";

const STARTING_THREADS: usize = 4;

/// Guards against children that inherit the socket with which a port was probed.
#[test]
fn an_address_is_free_while_other_threads_start_children() {
    let ended = AtomicBool::new(false);
    let mut failures = Vec::new();
    std::thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| {
                while !ended.load(Ordering::Relaxed) {
                    let status = Command::new("true").status().expect("a child");
                    assert!(status.success());
                }
            });
        }
        for _ in 0..ROUNDS {
            let address = free_addresses(1).expect("a free port")[0];
            let Err(error) = TcpListener::bind(address) else { continue };
            failures.push(format!("{address}: {error}"));
        }
        ended.store(true, Ordering::Relaxed);
    });
    assert!(failures.is_empty(), "{} of {ROUNDS}: {:?}", failures.len(), failures.first());
}

/// Guards against two test processes that take the same ports between probe and start.
#[test]
fn no_address_is_handed_out_twice_in_any_process() {
    if std::env::var_os(PRINT_VARIABLE).is_some() {
        // The test runner's first line has no end.
        println!("begin");
        for address in free_addresses(ADDRESSES).expect("free ports") {
            println!("{address}");
        }
        let _ = std::io::stdin().read_line(&mut String::new());
        return;
    }
    let mut seen = BTreeSet::new();
    for address in free_addresses(ADDRESSES).expect("free ports") {
        assert!(seen.insert(address.to_string()), "{address} is handed out twice");
    }
    let mut children = Vec::new();
    for _ in 0..OTHER_PROCESSES {
        let test = "no_address_is_handed_out_twice_in_any_process";
        let child = Command::new(std::env::current_exe().expect("a path"))
            .args(["--exact", test, "--nocapture"])
            .env(PRINT_VARIABLE, "1")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.expect("a child");
        let out = BufReader::new(child.stdout.take().expect("a pipe"));
        children.push((child, out));
    }
    for (_, out) in &mut children {
        let lines = out.lines().map_while(Result::ok).skip_while(|line| !line.ends_with("begin"));
        for line in lines.skip(1).take(ADDRESSES) {
            assert!(seen.insert(line.clone()), "{line} is handed out twice");
        }
    }
    assert_eq!(seen.len(), (1 + OTHER_PROCESSES) * ADDRESSES);
    for (mut child, _out) in children {
        drop(child.stdin.take());
        assert!(child.wait().expect("an exit status").success());
    }
}

/// Guards against outgoing connections that take a port which a daemon is to bind.
#[test]
fn the_ports_are_below_those_of_outgoing_connections() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").expect("a range");
    let low = range.split_whitespace().next().and_then(|low| low.parse::<u16>().ok());
    for address in free_addresses(1).expect("a free port") {
        assert!(Some(address.port()) < low, "{address} is in {range}");
    }
}
