//! A process of a test.

use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

/// How long a process may take to end by itself before a test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// A process that ends with its owner.
#[derive(Debug)]
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn start(command: &mut Command) -> Self {
        let child = command.spawn().expect("the process starts");
        Self { child }
    }

    /// Sends a signal by its name.
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

    /// Ends the process at once, as a fault.
    pub fn kill(&mut self) {
        // One that has ended already needs no signal.
        let _ = self.child.kill();
        self.child.wait().expect("the process can be waited for");
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let status = self.child.try_wait();
        status.expect("the process can be waited for").is_some()
    }

    /// Waits for the process to end by itself; its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not end in time");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Ending a process that has ended already fails, and that is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
