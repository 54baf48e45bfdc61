//! Reading of the settings file.

use std::path::Path;

use super::DaemonSettings;
use super::fields::SCHEMA;
use crate::check::{self, CheckError, SettingsError};

/// Reads the settings file of a daemon.
///
/// # Errors
/// [`SettingsError::Unreadable`] when there is no such text,
/// [`SettingsError::Faulty`] with the place of every fault.
pub fn read_daemon_settings(path: &Path) -> Result<DaemonSettings, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|cause| SettingsError::Unreadable {
        path: path.to_owned(),
        cause,
    })?;
    let settings = check_daemon_settings(&path.display().to_string(), &text)?;
    Ok(settings)
}

/// Checks the settings of a daemon; `name` stands for the text in the error.
///
/// # Errors
/// [`CheckError`] with the place of every fault.
pub fn check_daemon_settings(name: &str, text: &str) -> Result<DaemonSettings, CheckError> {
    check::read(name, text, &SCHEMA)
}
