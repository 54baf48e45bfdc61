//! A process stopped by SIGSTOP is declared dead, and announces itself again after SIGCONT.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_secs(12);

/// A process of the `member` example and the lines that it prints.
struct Process {
    child: Child,
    lines: Receiver<String>,
}

impl Process {
    fn start(name: &str, ports: &[(&str, u16)]) -> Self {
        let own = ports
            .iter()
            .find(|(other, _)| *other == name)
            .expect("own port")
            .1;
        let peers = ports
            .iter()
            .map(|(peer, port)| format!("{peer},r1,za,127.0.0.1:{port}"));
        let mut child = Command::new(example())
            .args([name, "r1", "za", &format!("127.0.0.1:{own}"), "100"])
            .args(peers)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the example is built with the tests");
        let output = child.stdout.take().expect("stdout");
        let (sender, lines) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        Self { child, lines }
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill")
            .args([signal, &pid])
            .status()
            .expect("kill");
        assert!(status.success());
    }

    /// Waits for a line with the prefix `start`.
    fn expect(&self, start: &str) {
        let deadline = Instant::now() + DEADLINE;
        let mut skipped = Vec::new();
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.lines.recv_timeout(left) {
                Ok(line) if line.starts_with(start) => return,
                Ok(line) => skipped.push(line),
                Err(_) => panic!("no line {start:?}, but {skipped:#?}"),
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn example() -> std::path::PathBuf {
    let test = std::env::current_exe().expect("own path");
    let profile = test
        .parent()
        .and_then(|deps| deps.parent())
        .expect("profile folder");
    profile.join("examples").join("member")
}

#[test]
fn a_frozen_process_dies_and_comes_back() {
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("port"))
        .collect();
    let port = |index: usize| listeners[index].local_addr().expect("address").port();
    let ports = [("a", port(0)), ("b", port(1)), ("c", port(2))];
    drop(listeners);
    let [a, b, c] = ["a", "b", "c"].map(|name| Process::start(name, &ports));
    for process in [&a, &b] {
        process.expect("member c Alive");
    }
    c.expect("fresh true");
    c.signal("-STOP");
    for process in [&a, &b] {
        process.expect("member c Suspect");
        process.expect("member c Dead");
    }
    // Longer than the lateness of the own timer that counts as a pause.
    std::thread::sleep(Duration::from_secs(1));
    c.signal("-CONT");
    c.expect("woke 1");
    c.expect("fresh true");
    for process in [&a, &b] {
        process.expect("member c Alive");
    }
    c.signal("-TERM");
    for process in [&a, &b] {
        process.expect("member c Leaving");
    }
}
