//! Messages as bytes.
//!
//! [`frame`] is the form of messages between hosts (CBOR in binary WebSocket messages). [`api`] is
//! the JSON that callers, trainers, upstreams and operators speak, and [`header`] the names of the
//! HTTP headers. Nothing here decides anything.
//!
//! ```
//! use chestnutdrift_core::HostId;
//! use chestnutdrift_core::message::{Envelope, Message};
//! use chestnutdrift_core::timeline::Stamp;
//! use chestnutdrift_wire::frame;
//!
//! let message = Message::SettingsPull { have: 4 };
//! let envelope = Envelope { from: HostId(1), stamp: Stamp::default(), message };
//! let bytes = frame::encode(&envelope).unwrap();
//! assert_eq!(frame::decode(&bytes).unwrap(), envelope);
//! ```

pub mod api;
pub mod frame;
pub mod header;
