//! The settings of the infrastructure provider's interface.

use std::path::Path;
use std::sync::Arc;

use chestnutdrift_core::Millis;
use chestnutdrift_core::gateway::ProviderSettings;
use ini::Ini;

use super::millis;
use crate::settings::{Section, SettingsError, parse_duration};

/// The keys of the section. `duties` lists the singleton tasks that the deployment performs, by the
/// names that `usage_duty` (default `usage`) and `scaling_duty` (default `scaling`) give to usage reports
/// and orders for upstreams. A task that is not listed is disabled.
const KEYS: [&str; 7] = [
    "address",
    "calls_per_second",
    "duties",
    "usage_duty",
    "scaling_duty",
    "usage_window",
    "usage_due",
];

/// The default of the most calls a second.
const DEFAULT_CALLS_PER_SECOND: u32 = 50;

/// The default of the time after the end of a window at which its report is due.
const DEFAULT_USAGE_DUE: Millis = Millis(10_000);

/// The provider's address and the settings of the core, both `None` if the deployment has none.
#[derive(Debug, Default)]
pub(super) struct Provider {
    pub(super) address: Option<Arc<str>>,
    pub(super) settings: Option<ProviderSettings>,
}

/// Reads the section of the provider; a key with an empty value counts as not set.
pub(super) fn read(path: &Path, ini: &Ini) -> Result<Provider, SettingsError> {
    let section = Section::open(path, ini, "provider", &KEYS)?;
    let set = |key: &str| section.text(key).filter(|text| !text.is_empty());
    let Some(address) = set("address") else { return Ok(Provider::default()) };
    check_address(&section, address)?;
    let time = |key: &str| -> Result<Option<Millis>, SettingsError> {
        // A template renders a number that is absent as nothing, which leaves its unit.
        let Some(text) = set(key).filter(|text| *text != "s") else { return Ok(None) };
        let time = parse_duration(text).filter(|time| !time.is_zero()).ok_or_else(|| {
            section.error(key, format!("{text:?} can't be read"), "a time such as 5s")
        })?;
        Ok(Some(millis(time)))
    };
    let calls_per_second = match set("calls_per_second") {
        Some(text) => whole_rate(text).ok_or_else(|| {
            let expected = "a number of calls of at least 1";
            section.error("calls_per_second", format!("{text:?} can't be read"), expected)
        })?,
        None => DEFAULT_CALLS_PER_SECOND,
    };
    let duties = set("duties").unwrap_or_default();
    let has_duty = |key: &str, default: &str| {
        let name = set(key).unwrap_or(default);
        duties.split(',').any(|duty| duty.trim() == name)
    };
    let usage_window = time("usage_window")?.filter(|_| has_duty("usage_duty", "usage"));
    let settings = ProviderSettings {
        calls_per_second,
        usage_window,
        usage_due: time("usage_due")?.unwrap_or(DEFAULT_USAGE_DUE),
        scaling: has_duty("scaling_duty", "scaling"),
    };
    Ok(Provider { address: Some(address.into()), settings: Some(settings) })
}

/// Returns a rate, which may have a fraction, as a whole number of calls a second, rounded down.
fn whole_rate(text: &str) -> Option<u32> {
    let rate: f64 = text.parse().ok()?;
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    (rate >= 1.0 && rate <= f64::from(u32::MAX)).then_some(rate as u32)
}

fn check_address(section: &Section<'_>, address: &str) -> Result<(), SettingsError> {
    let parts = address.rsplit_once(':');
    if parts.is_some_and(|(host, port)| !host.is_empty() && port.parse::<u16>().is_ok()) {
        return Ok(());
    }
    let expected = "a host name or IP address and a port, such as 10.0.0.7:7100";
    Err(section.error("address", format!("{address:?} can't be read"), expected))
}
