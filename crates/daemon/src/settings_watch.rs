//! Follows the settings file of a running daemon.
//!
//! The file may change with a signal or without one, in series, and may be read while it is being
//! written. It is therefore read again on each signal and once a period, and what can't be read or
//! is faulty changes nothing: the last whole and valid version is in force a period later at the
//! latest. Some fields take effect at run time; changes of the others are logged and wait for a
//! restart.

use std::path::{Path, PathBuf};
use std::time::Duration;

use futures_util::FutureExt;
use mangofront_settings::process::{
    DaemonSettings, FieldPath, changed_fields, check_daemon_settings,
};

use crate::error::DaemonError;
use crate::signals::{SIGHUP, SignalListener};

/// Time between two readings without a signal.
const READ_PERIOD: Duration = Duration::from_secs(1);

/// Fields and sections that take effect at run time.
const APPLIED_AT_RUN_TIME: [&str; 3] = ["gateway.seeds", "gateway.zone_regions", "logs.level"];

/// Why the file was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Occasion {
    Signal,
    Period,
}

/// Listens for requests to read the settings file again.
///
/// Exists from the start of a daemon, as a signal without a listener ends the process.
pub(crate) struct SettingsWatch {
    path: PathBuf,
    signals: SignalListener,
}

impl SettingsWatch {
    /// Starts to listen.
    pub(crate) fn new(path: PathBuf) -> Result<Self, DaemonError> {
        let signals = SignalListener::new(SIGHUP)?;
        Ok(Self { path, signals })
    }

    /// Passes each version of the settings after those `in_force` to `apply`, forever.
    pub(crate) async fn follow(
        mut self,
        in_force: DaemonSettings,
        apply: impl Fn(&DaemonSettings),
    ) {
        let mut file = SettingsFile {
            path: self.path.clone(),
            in_force,
            last_read: None,
        };
        loop {
            let occasion = self.next_occasion().await;
            if let Some(settings) = file.read(occasion) {
                mangofront_telemetry::logs::set_level(settings.logs.level);
                apply(settings);
            }
        }
    }

    async fn next_occasion(&mut self) -> Occasion {
        let mut signal = std::pin::pin!(self.signals.next().fuse());
        let mut period = std::pin::pin!(compio::time::sleep(READ_PERIOD).fuse());
        futures_util::select! {
            received = signal => {
                if let Err(error) = received {
                    log::warn!("daemon: waiting for SIGHUP failed: {error}");
                    period.await;
                }
                Occasion::Signal
            }
            () = period => Occasion::Period,
        }
    }
}

/// The settings file, and what was last read of it.
struct SettingsFile {
    path: PathBuf,
    /// The settings with which this daemon runs.
    in_force: DaemonSettings,
    /// The last content, or why there was none; `None` before the first reading.
    last_read: Option<Result<String, String>>,
}

impl SettingsFile {
    /// Reads the file; returns the settings if there are new ones.
    fn read(&mut self, occasion: Occasion) -> Option<&DaemonSettings> {
        let read = read_text(&self.path);
        let is_same = self.last_read.as_ref() == Some(&read);
        if is_same && occasion == Occasion::Period {
            return None;
        }
        self.last_read = Some(read.clone());
        let checked = read.and_then(|text| check(&self.path, &text));
        let settings = match checked {
            Ok(settings) => settings,
            Err(reason) => {
                log::error!(
                    reason = reason.as_str();
                    "daemon: settings file rejected, the settings before stay in force"
                );
                return None;
            }
        };
        let changed = changed_fields(&self.in_force, &settings);
        if changed.is_empty() {
            if occasion == Occasion::Signal {
                log::info!("daemon: settings read again, nothing has changed");
            }
            return None;
        }
        self.accept(&settings, &changed);
        Some(&self.in_force)
    }

    /// Takes over the fields that take effect at run time.
    fn accept(&mut self, settings: &DaemonSettings, changed: &[FieldPath]) {
        let (applied, waiting): (Vec<&FieldPath>, Vec<&FieldPath>) =
            changed.iter().partition(|path| is_applied(path));
        log::info!(
            applied = list(&applied).as_str(),
            after_restart = list(&waiting).as_str();
            "daemon: settings have changed"
        );
        self.in_force.logs.level = settings.logs.level;
        if let (Some(own), Some(new)) = (&mut self.in_force.gateway, &settings.gateway) {
            own.seeds.clone_from(&new.seeds);
            own.zone_regions.clone_from(&new.zone_regions);
        }
    }
}

fn read_text(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|cause| format!("read {}: {cause}", path.display()))
}

fn check(path: &Path, text: &str) -> Result<DaemonSettings, String> {
    let checked = check_daemon_settings(&path.display().to_string(), text);
    checked.map_err(|error| format!("check {}: {}", path.display(), error.one_line()))
}

/// Whether a changed field takes effect at run time.
fn is_applied(path: &str) -> bool {
    APPLIED_AT_RUN_TIME.iter().any(|applied| {
        let rest = path.strip_prefix(applied);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
    })
}

fn list(paths: &[&FieldPath]) -> String {
    let names: Vec<&str> = paths.iter().map(|path| path.as_str()).collect();
    names.join(",")
}
