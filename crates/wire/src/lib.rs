//! Encoding and decoding of messages.
//!
//! [`frame`] encodes messages between hosts (CBOR in binary WebSocket messages). [`api`] holds the
//! JSON bodies exchanged with callers, trainers, upstreams, engines and operators, and [`header`]
//! the names of the HTTP headers. The crate only encodes and decodes; decisions are made in the
//! core.
//!
//! ```
//! use chestnutdrift_core::HostId;
//! use chestnutdrift_core::message::{Envelope, Message};
//! use chestnutdrift_core::timeline::Stamp;
//! use chestnutdrift_wire::frame;
//!
//! let message = Message::SettingsPull { have: 4 };
//! let envelope = Envelope { from: HostId(1), stamp: Stamp::default(), message };
//! let bytes = frame::Encoder::default().encode(&envelope).unwrap();
//! assert_eq!(frame::decode(&bytes).unwrap(), envelope);
//! ```

pub mod api;
pub mod frame;
pub mod header;
