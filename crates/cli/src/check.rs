//! `mangofront check`: checks a settings file or a published configuration.

use std::convert::Infallible;
use std::ffi::OsStr;
use std::path::{Path, PathBuf};

use mangofront_settings::check::DocumentKind;
use mangofront_settings::process::{DaemonSettings, check_daemon_settings};
use mangofront_settings::published::{Configuration, check_published_named};
use pico_args::Arguments;

use crate::error::CliError;
use crate::{finish, output};

pub(crate) fn run(mut arguments: Arguments) -> Result<(), CliError> {
    let kind = arguments.opt_value_from_fn("--kind", parse_kind)?;
    let path = arguments.free_from_os_str(to_path)?;
    finish(arguments)?;
    let text = read(&path)?;
    let name = path.display().to_string();
    let summary = match kind.unwrap_or_else(|| DocumentKind::guess(&text)) {
        DocumentKind::Settings => summarise_settings(&check_daemon_settings(&name, &text)?),
        DocumentKind::Configuration => {
            summarise_configuration(&check_published_named(&name, &text)?)
        }
    };
    output::print(&format!("{name}: {summary}\n"))
}

/// Reads a text file.
pub(crate) fn read(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path).map_err(|cause| CliError::Unreadable {
        path: path.display().to_string(),
        cause,
    })
}

pub(crate) fn to_path(argument: &OsStr) -> Result<PathBuf, Infallible> {
    Ok(PathBuf::from(argument))
}

fn parse_kind(argument: &str) -> Result<DocumentKind, &'static str> {
    match argument {
        "settings" => Ok(DocumentKind::Settings),
        "configuration" => Ok(DocumentKind::Configuration),
        _ => Err("the kind is settings or configuration"),
    }
}

fn summarise_settings(settings: &DaemonSettings) -> String {
    format!(
        "good settings of instance {} in availability zone {}",
        settings.instance, settings.availability_zone
    )
}

fn summarise_configuration(configuration: &Configuration) -> String {
    format!(
        "good configuration, classes: {}, organisations: {}, models: {}, services: {}",
        configuration.classes.len(),
        configuration.organisations.len(),
        configuration.models.len(),
        configuration.services.len()
    )
}
