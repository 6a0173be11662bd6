//! A stand-in for a plain service whose calls may not be repeated: a booking desk.
//!
//! It books whatever it is sent, as often as it is sent, and counts by key; so a test sees whether
//! a call ran twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use chestnutdrift_core::event::UpstreamKind;
use chestnutdrift_wire::api::upstream::AnnounceBody;
use hyper::Response;
use serde_json::json as value;

use crate::announcer::Announcer;
use crate::engine::boot_id;
use crate::server::{Body, IncomingRequest, Server, json};

/// What a desk is told.
#[derive(Debug, Clone)]
pub struct DeskSettings {
    /// Its name.
    pub name: Box<str>,
    /// Its service.
    pub service: Box<str>,
    /// Where it listens; port 0 takes a free one.
    pub address: SocketAddr,
    /// The HTTP addresses of its zone's hosts.
    pub hosts: Vec<Box<str>>,
    /// The time that a booking takes.
    pub booking_time: Duration,
}

/// A running desk.
#[derive(Debug)]
pub struct Desk {
    server: Server,
    announcer: Announcer,
    bookings: Arc<Mutex<BTreeMap<Box<str>, u32>>>,
}

impl Desk {
    /// Starts a desk.
    ///
    /// # Errors
    ///
    /// Returns an error where its address can't be bound.
    pub fn start(cfg: DeskSettings) -> anyhow::Result<Self> {
        let bookings: Arc<Mutex<BTreeMap<Box<str>, u32>>> = Arc::default();
        let (shared, booking_time, name) =
            (Arc::clone(&bookings), cfg.booking_time, cfg.name.clone());
        let server = Server::start(cfg.address, move |request| {
            let (shared, name) = (Arc::clone(&shared), name.clone());
            async move { handle(&shared, &name, booking_time, request).await }
        })?;
        let body = AnnounceBody {
            name: cfg.name,
            boot_id: boot_id(),
            service: cfg.service,
            address: server.address().to_string().into(),
            kind: UpstreamKind::Plain,
            slots: 8,
            version: 0,
            checks_fence: false,
            idempotent: false,
        };
        let announcer = Announcer::start(cfg.hosts, body, Arc::new(AtomicU64::new(0)));
        Ok(Self { server, announcer, bookings })
    }

    /// Returns where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns how often each key was booked.
    #[must_use]
    pub fn bookings(&self) -> BTreeMap<Box<str>, u32> {
        self.bookings.lock().map(|bookings| bookings.clone()).unwrap_or_default()
    }

    /// Leaves and stops.
    pub fn close(self) {
        self.announcer.close();
        self.server.close();
    }
}

async fn handle(
    bookings: &Mutex<BTreeMap<Box<str>, u32>>,
    name: &str,
    booking_time: Duration,
    request: IncomingRequest,
) -> Response<Body> {
    if &*request.path == "/bookings" && &*request.method == "GET" {
        let all = bookings.lock().map(|bookings| bookings.clone()).unwrap_or_default();
        return json(200, &all);
    }
    let count = {
        let Ok(mut bookings) = bookings.lock() else {
            return json(500, &"poisoned");
        };
        let count = bookings.entry(request.key.clone()).or_default();
        *count += 1;
        *count
    };
    tokio::time::sleep(booking_time).await;
    let number = format!("{name}-{}-{count}", request.key);
    json(200, &value!({ "booking": number, "times": count }))
}
