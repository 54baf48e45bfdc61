//! Loading of the settings file.

use std::path::Path;

use super::DaemonSettings;
use super::fields::SCHEMA;
use crate::check::{self, CheckError, SettingsError};

/// Loads and validates the settings file of a daemon.
///
/// # Errors
/// [`SettingsError::Unreadable`] if the file can't be opened or is not UTF-8,
/// [`SettingsError::Faulty`] with the location of every fault.
pub fn read_daemon_settings(path: &Path) -> Result<DaemonSettings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    let settings = check_daemon_settings(&path.display().to_string(), &text)?;
    Ok(settings)
}

/// Parses and validates the settings of a daemon; `name` identifies the text in the
/// error.
///
/// # Errors
/// [`CheckError`] with the location of every fault.
pub fn check_daemon_settings(name: &str, text: &str) -> Result<DaemonSettings, CheckError> {
    check::read(name, text, &SCHEMA)
}
