//! The settings of the fleet: defaults, exceptions with reasons, and changes to them.

mod change;
mod key;
mod settings;
mod state;

pub use change::{Change, ChangeAnswer, ChangeError, Edit};
pub use key::{Scope, SettingKey};
pub use settings::{Effective, Exception, FleetSettings, Place};
pub use state::FleetState;
