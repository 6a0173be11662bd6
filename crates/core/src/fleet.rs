//! The settings of the fleet: defaults, exceptions with their reasons, and changes.

mod change;
mod key;
mod settings;
mod state;

pub use change::{Change, ChangeError, ChangeOutcome, Edit};
pub use key::{Scope, SettingKey};
pub use settings::{EffectiveSetting, Exception, FleetSettings, SettingContext};
pub use state::FleetState;
