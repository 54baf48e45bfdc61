//! A runner in trouble sends bytes that are no answer, without end.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::support::*;

/// Clients that keep their channels to daemon 0, and requests of each before the trouble.
const CLIENTS: usize = 12;
const CALM_REQUESTS: usize = 10;

/// Answers that the runner in trouble spoils, requests of its service before that, and requests that
/// may be sent until it has.
const SPOILED: usize = 2;
const ASKED: usize = 120;
const PROBES: usize = 150;

/// The platform kills a process that exceeds this, in megabytes.
const MEMORY_MB: u64 = 260;

/// Channels that may be closed without an answer after their requests were passed on.
const ALLOWED: usize = 3;

/// A request on a kept channel.
struct Kept {
    id: String,
    /// How many requests the channel had answered before.
    answered_before: usize,
    status: u16,
    /// When the channel ended without an answer.
    closed_at: Option<u64>,
}

/// Sends one request on an open channel; the status is 0 if the channel ends without an answer.
fn ask(reader: &mut BufReader<TcpStream>, id: &str, path: &str) -> u16 {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Mangofront-Attempt-Id: {id}\r\nX-Mangofront-Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 2\r\n\r\nok"
    );
    if reader.get_mut().write_all(request.as_bytes()).is_err() {
        return 0;
    }
    match read_head(reader) {
        Ok(Some(mut head)) => {
            read_body(reader, &mut head, true, None);
            head.status()
        }
        _ => 0,
    }
}

fn keep_asking(
    record: Record,
    caller: SocketAddr,
    client: usize,
    stop: Arc<AtomicBool>,
    calm: Arc<AtomicUsize>,
) -> Vec<Kept> {
    let mut kept = Vec::new();
    let Ok(stream) = TcpStream::connect(caller) else { return kept };
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return kept;
        }
        let work = if number < CALM_REQUESTS { 60 } else { 400 };
        let id = format!("a{client:03x}{number:012x}");
        let status = ask(&mut reader, &id, &format!("/desk/2f?bytes=800&work={work}"));
        let closed_at = (status == 0).then(|| record.now());
        kept.push(Kept { id, answered_before: number, status, closed_at });
        if status == 0 {
            return kept;
        }
        if number + 1 == CALM_REQUESTS {
            calm.fetch_add(1, Ordering::Relaxed);
        }
    }
    kept
}

pub fn play() -> bool {
    let mut fleet = Deployment::start(6, 3);
    let record = fleet.record.clone();
    let caller = fleet.daemons[0].caller;
    let stop = Arc::new(AtomicBool::new(false));
    let calm = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, stop, calm) = (record.clone(), Arc::clone(&stop), Arc::clone(&calm));
            thread::spawn(move || keep_asking(record, caller, client, stop, calm))
        })
        .collect();
    let until = Instant::now() + Duration::from_secs(30);
    while calm.load(Ordering::Relaxed) < CLIENTS {
        if Instant::now() > until {
            cannot_run(&record, "the clients were not served");
        }
        thread::sleep(ms(10));
    }
    let others: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let ask_one = |number: usize| {
        let call = Call {
            id: format!("b{number:015x}"),
            method: "POST",
            path: "/order/2f?bytes=800&work=60&spoil=1".into(),
            key: Some(KEY.into()),
            deadline_ms: 8_000,
            ..Call::default()
        };
        let (record, others) = (record.clone(), Arc::clone(&others));
        thread::spawn(move || {
            let outcome = send(&record, caller, &call);
            others.lock().unwrap().push(outcome);
        })
    };
    // The runner that gets most of these requests gets into trouble.
    let mut asking: Vec<_> = (0..PROBES)
        .map(|number| {
            thread::sleep(ms(10));
            ask_one(number)
        })
        .collect();
    thread::sleep(ms(300));
    let probed = fleet.events();
    let probes = |id: &str| probed.iter().filter(|e| e.runner == id && e.request.starts_with('b')).count();
    let place = (0..fleet.runners.len()).max_by_key(|place| probes(&fleet.runners[*place].id)).unwrap_or(0);
    let bad = fleet.runners[place].id.clone();
    let before = fleet.events().iter().filter(|e| e.what == "DONE" && e.runner == bad).count();
    record.line(&format!(
        "{before} answers of {bad} so far, all whole; daemon 0 has {} kB",
        fleet.daemons[0].memory_kb()
    ));
    if trouble() {
        record.line(&format!("runner {bad} is in trouble"));
        fleet.runners[place].get_into_trouble();
    }
    let mut peak_kb = 0;
    let mut killed_at = None;
    let until = Instant::now() + ms(9_000);
    while Instant::now() < until && killed_at.is_none() {
        let spoiled = fleet.events().iter().filter(|e| e.what == "SPOIL").count();
        if spoiled < SPOILED && asking.len() < PROBES + ASKED {
            asking.push(ask_one(asking.len()));
        }
        let memory_kb = fleet.daemons[0].memory_kb();
        peak_kb = peak_kb.max(memory_kb);
        if memory_kb > MEMORY_MB * 1_024 {
            killed_at = Some(record.now());
            record.line(&format!("daemon 0 has {memory_kb} kB, over {MEMORY_MB} MB: the platform kills it"));
            signal(fleet.daemons[0].pid(), SIGKILL);
        }
        thread::sleep(ms(10));
    }
    if trouble() && !fleet.events().iter().any(|e| e.what == "SPOIL") {
        cannot_run(&record, "no request met the runner in trouble");
    }
    thread::sleep(ms(600));
    stop.store(true, Ordering::Relaxed);
    let kept: Vec<Kept> = clients.into_iter().filter_map(|one| one.join().ok()).flatten().collect();
    for one in asking {
        let _ = one.join();
    }
    for outcome in others.lock().unwrap().iter() {
        record.line(&describe(outcome));
    }
    let events = fleet.events();
    let mut lost = 0;
    for one in &kept {
        record.line(&format!("kept channel: {} status {}", one.id, one.status));
        let Some(closed_at) = one.closed_at else { continue };
        let run = events.iter().find(|e| e.what == "RUN" && e.request == one.id);
        let Some(run) = run.filter(|run| run.runner != bad) else { continue };
        if one.answered_before > 0 {
            record.line(&format!(
                "BROKEN: {} had been passed on to the sound runner {} at {}, and its kept channel was closed without an answer at {closed_at}",
                one.id, run.runner, run.at
            ));
            lost += 1;
        }
    }
    let spoiled = events.iter().filter(|e| e.what == "SPOIL").count();
    let all_of_trouble = events.iter().filter(|e| e.what == "RUN" && e.runner == bad).count();
    record.line(&format!(
        "{spoiled} of {all_of_trouble} answers of {bad} were spoiled; daemon 0 had {peak_kb} kB at most (limit {} kB) and was {}; {lost} kept channels were closed without an answer (allowed {ALLOWED})",
        MEMORY_MB * 1_024,
        if killed_at.is_some() { "killed" } else { "not killed" }
    ));
    if !trouble() && kept.iter().any(|one| one.status != 200) {
        cannot_run(&record, "orders were not answered without a disturbance");
    }
    killed_at.is_some() && lost > ALLOWED
}
