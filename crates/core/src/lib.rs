//! The decision logic of chestnutdrift, without any I/O.
//!
//! A [`Board`] holds the state in arenas, and a list of controllers reads and writes it. Time, the
//! random seed and every input arrive with an [`Event`]; every effect leaves as an [`Action`]. The
//! crate uses no socket, file, thread, clock or global random state, so the same list of events
//! always produces the same list of actions.
//!
//! Start at [`Core`], then read [`controller`] for the order in which the controllers run.
//!
//! ```
//! use chestnutdrift_core::{Core, Event, HostSettings, Now};
//!
//! let cfg = HostSettings::new("host-1", "zone-a").seed(7);
//! let mut core = Core::new(cfg, Now::default());
//! let actions = core.handle(Now::default(), Event::Tick);
//! assert!(actions.iter().all(|action| !action.is_dispatch()));
//! ```

pub mod action;
pub mod agreement;
pub mod board;
mod checksum;
pub mod controller;
mod core;
pub mod directory;
pub mod error;
pub mod event;
pub mod fleet;
pub mod gateway;
pub mod host_settings;
pub mod key;
pub mod message;
pub mod policy;
pub mod records;
pub mod time;
pub mod timeline;

pub use crate::action::Action;
pub use crate::board::Board;
pub use crate::checksum::checksum;
pub use crate::core::Core;
pub use crate::error::{ErrorKind, Problem, Ran};
pub use crate::event::Event;
pub use crate::host_settings::{HostSettings, PeerSpec};
pub use crate::key::{AttemptKey, Fingerprint, HostId, RequestTag, UpstreamKey};
pub use crate::time::{Millis, Now};
