//! Measures control traffic, processor time and memory of a fleet on loopback.
//!
//! `measure SECONDS ZONES REGIONS SIZE…` starts SIZE processes of the `member`
//! example from the same folder, spread over ZONES availability zones in each of
//! REGIONS regions, waits until they know each other, and prints one line of JSON for
//! each size: averages per daemon over SECONDS. Bytes are those of the messages
//! including nng's framing but not TCP's headers.

use std::error::Error;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

/// Time for all members to know each other.
const SETTLE_TIME: Duration = Duration::from_secs(20);

/// Ticks of processor time per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Heartbeat period, in milliseconds.
const PERIOD_MS: &str = "1000";

/// Positions of the counters in a traffic line: messages and bytes sent, messages and bytes
/// received, missed heartbeats, resyncs.
const COUNT_WORDS: [usize; 6] = [2, 3, 5, 6, 8, 12];

/// Position of the number of members alive in a traffic line.
const ALIVE_WORD: usize = 10;

struct Process {
    child: Child,
    lines: Receiver<(Instant, String)>,
}

/// Measurements of one process at one moment.
struct Sample {
    at: Instant,
    counts: [f64; 6],
    alive: usize,
    cpu_ticks: f64,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [seconds, zones, regions, sizes @ ..] = arguments.as_slice() else {
        return Err("SECONDS ZONES REGIONS SIZE…".into());
    };
    let time = Duration::from_secs(seconds.parse()?);
    for size in sizes {
        measure(size.parse()?, zones.parse()?, regions.parse()?, time)?;
    }
    Ok(())
}

fn measure(
    size: usize,
    zones: usize,
    regions: usize,
    time: Duration,
) -> Result<(), Box<dyn Error>> {
    let processes = start(size, zones, regions)?;
    std::thread::sleep(SETTLE_TIME);
    let before = sample_all(&processes)?;
    std::thread::sleep(time);
    let after = sample_all(&processes)?;
    let pairs = || before.iter().zip(&after);
    let rate = |index: usize| {
        let rates =
            pairs().map(|(b, a)| (a.counts[index] - b.counts[index]) / (a.at - b.at).as_secs_f64());
        rates.sum::<f64>() / size as f64
    };
    let cpu = pairs().map(|(b, a)| (a.cpu_ticks - b.cpu_ticks) / TICKS_PER_S);
    let cpu_percent = cpu.sum::<f64>() / size as f64 / time.as_secs_f64() * 100.0;
    let most = pairs()
        .map(|(b, a)| {
            let bytes = a.counts[1] + a.counts[3] - b.counts[1] - b.counts[3];
            bytes / (a.at - b.at).as_secs_f64()
        })
        .fold(0.0, f64::max);
    let least_alive = after.iter().map(|sample| sample.alive).min().unwrap_or(0);
    println!(
        "{{\"members\": {size}, \"zones\": {}, \"regions\": {regions}, \"seconds\": {}, \
         \"messages_sent_per_s\": {:.2}, \"bytes_sent_per_s\": {:.0}, \
         \"messages_received_per_s\": {:.2}, \"bytes_received_per_s\": {:.0}, \
         \"bytes_both_per_s_most\": {most:.0}, \"heartbeats_missed_per_s\": {:.3}, \"resyncs_per_s\": {:.4}, \
         \"cpu_percent\": {cpu_percent:.3}, \"resident_kb\": {}, \"least_alive\": {least_alive}}}",
        zones * regions,
        time.as_secs(),
        rate(0),
        rate(1),
        rate(2),
        rate(3),
        rate(4),
        rate(5),
        resident_kb(&processes)?,
    );
    Ok(())
}

fn start(size: usize, zones: usize, regions: usize) -> Result<Vec<Process>, Box<dyn Error>> {
    let listeners: Result<Vec<_>, _> = (0..size)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect();
    let mut peers = Vec::new();
    for (index, listener) in listeners?.iter().enumerate() {
        let region = index % regions;
        let zone = index / regions % zones;
        let address = listener.local_addr()?;
        peers.push(format!(
            "instance-{index:04},region-{region},zone-{region}-{zone},{address}"
        ));
    }
    peers.iter().map(|own| spawn(own, &peers)).collect()
}

fn spawn(own: &str, peers: &[String]) -> Result<Process, Box<dyn Error>> {
    let program = std::env::current_exe()?.with_file_name("member");
    let mut child = Command::new(program)
        .args(own.split(','))
        .arg(PERIOD_MS)
        .args(peers)
        .stdout(Stdio::piped())
        .spawn()?;
    let output = child.stdout.take().ok_or("no output")?;
    let (sender, lines) = channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            if sender.send((Instant::now(), line)).is_err() {
                return;
            }
        }
    });
    Ok(Process { child, lines })
}

fn sample_all(processes: &[Process]) -> Result<Vec<Sample>, Box<dyn Error>> {
    processes.iter().map(sample).collect()
}

/// Reads the latest traffic line and the processor time of a process.
fn sample(process: &Process) -> Result<Sample, Box<dyn Error>> {
    let traffic = process
        .lines
        .try_iter()
        .filter(|(_, line)| line.starts_with("traffic"));
    let (at, line) = traffic.last().ok_or("no traffic line")?;
    let words: Vec<&str> = line.split(' ').collect();
    let mut counts = [0.0; 6];
    for (count, word) in counts.iter_mut().zip(COUNT_WORDS) {
        *count = words.get(word).ok_or("short line")?.parse()?;
    }
    let alive = words.get(ALIVE_WORD).ok_or("short line")?.parse()?;
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.child.id()))?;
    let fields: Vec<&str> = stat.split(' ').collect();
    let ticks = |field: usize| {
        fields
            .get(field)
            .and_then(|ticks| ticks.parse::<f64>().ok())
    };
    let cpu_ticks = ticks(13).ok_or("no user time")? + ticks(14).ok_or("no system time")?;
    Ok(Sample {
        at,
        counts,
        alive,
        cpu_ticks,
    })
}

/// Average resident memory.
fn resident_kb(processes: &[Process]) -> Result<u64, Box<dyn Error>> {
    let mut sum = 0;
    for process in processes {
        let status = std::fs::read_to_string(format!("/proc/{}/status", process.child.id()))?;
        let line = status
            .lines()
            .find(|line| line.starts_with("VmRSS"))
            .ok_or("no VmRSS")?;
        sum += line
            .split_whitespace()
            .nth(1)
            .ok_or("no VmRSS")?
            .parse::<u64>()?;
    }
    Ok(sum / processes.len() as u64)
}
