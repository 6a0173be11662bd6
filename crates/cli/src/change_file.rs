//! Reads the edits of a settings change from an INI file.
//!
//! `[defaults]` holds `setting = value` lines; each `[exception NAME]` holds `scope`, `key`,
//! `value` and `reason`. An empty value removes a default or an exception.

use std::path::Path;

use anyhow::{Context, bail};
use chestnutdrift_wire::api::operator::EditBody;
use ini::{Ini, Properties};

const EXCEPTION_KEYS: [&str; 4] = ["scope", "key", "value", "reason"];

/// Reads the edits of a file.
///
/// # Errors
///
/// Returns an error that names the file, the section and the key at fault.
pub(crate) fn read(path: &Path) -> anyhow::Result<Vec<EditBody>> {
    let file = path.display();
    let ini = Ini::load_from_file(path).with_context(|| format!("{file}"))?;
    let mut edits = Vec::new();
    for (name, keys) in &ini {
        match name {
            None if keys.is_empty() => {}
            Some("defaults") => {
                for (key, text) in keys {
                    let value =
                        parse_value(text).with_context(|| format!("{file}: [defaults] {key}"))?;
                    edits.push(EditBody { key: key.into(), value, scope: None, reason: "".into() });
                }
            }
            Some(name) if name.starts_with("exception ") => {
                edits.push(exception(keys).with_context(|| format!("{file}: [{name}]"))?);
            }
            other => {
                let name = other.unwrap_or("");
                bail!("{file}: [{name}]: expected [defaults] or [exception NAME]");
            }
        }
    }
    Ok(edits)
}

/// Reads an exception; one with a value needs a reason.
fn exception(keys: &Properties) -> anyhow::Result<EditBody> {
    for (key, _) in keys {
        if !EXCEPTION_KEYS.contains(&key) {
            bail!("{key}: no such key; expected {}", EXCEPTION_KEYS.join(", "));
        }
    }
    let text = |key: &str| keys.get(key).map(str::trim).filter(|text| !text.is_empty());
    let value = parse_value(text("value").unwrap_or_default()).context("value")?;
    let reason = text("reason");
    if value.is_some() && reason.is_none() {
        bail!("reason: is missing; expected a sentence on why the exception is made");
    }
    Ok(EditBody {
        key: text("key").context("key: is missing; expected the name of a setting")?.into(),
        value,
        scope: Some(
            text("scope")
                .context("scope: is missing; expected zone:NAME, host:NAME or service:NAME")?
                .into(),
        ),
        reason: reason.unwrap_or_default().into(),
    })
}

/// Parses a value; an empty one is `None`.
fn parse_value(text: &str) -> anyhow::Result<Option<u64>> {
    let text = text.trim();
    if text.is_empty() {
        return Ok(None);
    }
    Ok(Some(text.parse().with_context(|| format!("{text:?} is not a whole number"))?))
}
