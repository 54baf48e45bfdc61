//! A child process that a test starts, signals and kills.

use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for a process to exit by itself.
const EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// A child process that is killed when this value is dropped.
#[derive(Debug)]
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn start(command: &mut Command) -> Self {
        let child = command.spawn().expect("the process starts");
        Self { child }
    }

    /// Sends the signal of a name such as `TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(
            sent.expect("kill runs").success(),
            "signal {name} reaches {id}"
        );
    }

    /// Kills the process and waits for it to exit.
    pub fn kill(&mut self) {
        // Fails if the process has already exited.
        let _ = self.child.kill();
        self.child.wait().expect("the process can be waited for");
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.try_wait();
        status.expect("the process can be waited for").is_some()
    }

    /// Waits for the process to exit by itself and returns its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < EXIT_TIMEOUT {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not exit within {EXIT_TIMEOUT:?}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
