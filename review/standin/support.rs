//! Stand-ins for the platform of the review's cases: the metadata store, runners, clients, and the
//! platform's part in starting and stopping daemons. Standard library only.
//!
//! `harness runner ADDRESS ID` is a runner in a process of its own, so that it can be killed.
//! `harness CASE` plays a case and writes `record.txt` into the folder named by `CASE_DIR`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::fd::FromRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
}

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// Has a process end with this one, however this one ends (PR_SET_PDEATHSIG).
fn ends_with_us(command: &mut Command) -> &mut Command {
    unsafe {
        command.pre_exec(|| {
            prctl(1, SIGKILL as u64);
            Ok(())
        })
    }
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant, u64)>);

impl Record {
    pub fn create() -> Self {
        let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".into());
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Self(Arc::new((Mutex::new(file), Instant::now(), unix_ms())))
    }

    pub fn now(&self) -> u64 {
        self.0 .1.elapsed().as_millis() as u64
    }

    /// A Unix time in milliseconds on the record's clock.
    pub fn at(&self, unix: u64) -> u64 {
        unix.saturating_sub(self.0 .2)
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>6} {text}\n", self.now());
        print!("{line}");
        let mut file = self.0 .0.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// The case could not be played.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.line(&format!("CANNOT RUN: {why}"));
    // Children are ended by their guards only if the stack unwinds.
    std::panic::panic_any(2_i32)
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is whole, by its length, its last chunk or the end of the channel.
    pub complete: bool,
    pub end: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn read_line(reader: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

/// Reads a head; `None` at the end of the channel.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut headers = Vec::new();
    loop {
        match read_line(reader)? {
            None => return Ok(None),
            Some(line) if line.is_empty() => break,
            Some(line) => {
                if let Some((name, value)) = line.split_once(':') {
                    headers.push((name.trim().to_owned(), value.trim().to_owned()));
                }
            }
        }
    }
    Ok(Some(Message { first, headers, body: Vec::new(), complete: false, end: String::new() }))
}

/// Reads the body of a message; `is_answer` tells that it may end with its channel.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, is_answer: bool, pace: Option<u64>) {
    let length = message.header("content-length").and_then(|value| value.parse::<usize>().ok());
    let is_chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    let started = Instant::now();
    let take = |reader: &mut dyn BufRead, body: &mut Vec<u8>, wanted: usize| -> std::io::Result<usize> {
        let mut buffer = vec![0; wanted.min(8 * 1024)];
        let read = reader.read(&mut buffer)?;
        body.extend_from_slice(&buffer[..read]);
        if let Some(per_second) = pace {
            let due = Duration::from_secs_f64(body.len() as f64 / per_second as f64);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
        Ok(read)
    };
    let result = (|| -> std::io::Result<bool> {
        if let Some(length) = length {
            while message.body.len() < length {
                let left = length - message.body.len();
                if take(reader, &mut message.body, left)? == 0 {
                    return Ok(false);
                }
            }
            return Ok(true);
        }
        if is_chunked {
            loop {
                let Some(line) = read_line(reader)? else { return Ok(false) };
                let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return Ok(false) };
                let until = message.body.len() + size;
                while message.body.len() < until {
                    let left = until - message.body.len();
                    if take(reader, &mut message.body, left)? == 0 {
                        return Ok(false);
                    }
                }
                if read_line(reader)?.is_none() {
                    return Ok(false);
                }
                if size == 0 {
                    return Ok(true);
                }
            }
        }
        if is_answer {
            while take(reader, &mut message.body, 8 * 1024)? > 0 {}
        }
        Ok(true)
    })();
    message.complete = matches!(result, Ok(true));
    message.end = match result {
        Ok(true) => "complete".into(),
        Ok(false) => "the channel ended early".into(),
        Err(error) => error.to_string(),
    };
}

// ---------------------------------------------------------------- client

#[derive(Clone, Default)]
pub struct Call {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub key: Option<String>,
    pub deadline_ms: u64,
    /// Bytes a second that the client reads of the answer; as fast as it can if absent.
    pub pace: Option<u64>,
    /// Largest segment that the client's link takes, as on an Ethernet link.
    pub segment: Option<i32>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub id: String,
    /// Milliseconds of the record at which the last byte of the request was sent.
    pub sent_at: u64,
    pub ended_at: u64,
    /// 0 if there was no head.
    pub status: u16,
    pub seal: Option<String>,
    pub body: Vec<u8>,
    pub complete: bool,
    pub end: String,
}

fn open(address: SocketAddr, segment: Option<i32>) -> std::io::Result<TcpStream> {
    let (Some(segment), SocketAddr::V4(v4)) = (segment, address) else {
        return TcpStream::connect_timeout(&address, ms(1_000));
    };
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return Err(std::io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        // IPPROTO_TCP, TCP_MAXSEG; SOL_SOCKET, SO_RCVBUF.
        setsockopt(fd, 6, 2, &segment, 4);
        let window = 32 * 1024;
        setsockopt(fd, 1, 8, &window, 4);
        let to = SockAddrIn {
            family: 2,
            port: v4.port().to_be(),
            address: u32::from(*v4.ip()).to_be(),
            zero: [0; 8],
        };
        if connect(fd, &to, 16) != 0 {
            return Err(std::io::Error::last_os_error());
        }
        Ok(stream)
    }
}

/// Sends one request on a channel of its own and reads its answer.
pub fn send(record: &Record, to: SocketAddr, call: &Call) -> Outcome {
    let mut outcome = Outcome {
        id: call.id.clone(),
        sent_at: record.now(),
        ended_at: 0,
        status: 0,
        seal: None,
        body: Vec::new(),
        complete: false,
        end: "no channel".into(),
    };
    let mut request = format!(
        "{} {} HTTP/1.1\r\nHost: shop.example\r\nX-Mangofront-Attempt-Id: {}\r\nX-Mangofront-Deadline-Ms: {}\r\n",
        call.method, call.path, call.id, call.deadline_ms
    );
    if let Some(key) = &call.key {
        request += &format!("Authorization: Bearer {key}\r\n");
    }
    if call.method == "POST" {
        request += "Content-Length: 2\r\n\r\nok";
    } else {
        request += "\r\n";
    }
    match open(to, call.segment) {
        Err(error) => outcome.end = format!("no channel: {error}"),
        Ok(mut stream) => {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(ms(call.deadline_ms)));
            if let Err(error) = stream.write_all(request.as_bytes()) {
                outcome.end = format!("not sent: {error}");
            } else {
                outcome.sent_at = record.now();
                let mut reader = BufReader::with_capacity(8 * 1024, stream);
                match read_head(&mut reader) {
                    Ok(Some(mut head)) => {
                        read_body(&mut reader, &mut head, true, call.pace);
                        outcome.status = head.status();
                        outcome.seal = head.header("x-mangofront-response-seal").map(str::to_owned);
                        outcome.complete = head.complete;
                        outcome.end = head.end;
                        outcome.body = head.body;
                    }
                    Ok(None) => outcome.end = "the channel ended without an answer".into(),
                    Err(error) => outcome.end = format!("no answer: {error}"),
                }
            }
        }
    }
    outcome.ended_at = record.now();
    outcome
}

pub fn describe(outcome: &Outcome) -> String {
    format!(
        "answer {} status {} seal {} body {} B, {} (sent {}, ended {})",
        outcome.id,
        outcome.status,
        outcome.seal.as_deref().unwrap_or("none"),
        outcome.body.len(),
        outcome.end,
        outcome.sent_at,
        outcome.ended_at
    )
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    events: Vec<(u64, String, Option<Vec<u8>>)>,
    revision: u64,
    down: bool,
    era: u64,
    /// Changes up to this revision are no longer in the history.
    compacted: u64,
}

/// What the store held at a moment.
pub struct Copy {
    items: BTreeMap<String, (Vec<u8>, u64)>,
    revision: u64,
}

/// The platform's metadata store.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("store address");
        let address = listener.local_addr().unwrap();
        let state = StoreState { revision: 10, era: 1, ..StoreState::default() };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let accepting = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&accepting);
                thread::spawn(move || serve_store(&shared, stream));
            }
        });
        Self { shared, address }
    }

    /// Writes or removes an item; the return is the acknowledgement.
    pub fn write(&self, key: &str, value: Option<&str>) -> u64 {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => drop(state.items.insert(key.into(), (value.into(), revision))),
            None => drop(state.items.remove(key)),
        }
        state.events.push((revision, key.into(), value.map(|v| v.as_bytes().to_vec())));
        self.shared.1.notify_all();
        revision
    }

    /// A copy of what it holds now.
    pub fn copy(&self) -> Copy {
        let state = self.shared.0.lock().unwrap();
        Copy { items: state.items.clone(), revision: state.revision }
    }

    /// Comes back from a copy: what was written since is lost, revisions go back, and the era rises
    /// by one.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.shared.0.lock().unwrap();
        state.items = copy.items.clone();
        state.revision = copy.revision;
        state.events.retain(|event| event.0 <= copy.revision);
        state.compacted = copy.revision;
        state.era += 1;
        self.shared.1.notify_all();
    }

    /// While it is down it answers nothing; open channels stay silent.
    pub fn set_down(&self, down: bool) {
        self.shared.0.lock().unwrap().down = down;
        self.shared.1.notify_all();
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let n = (u32::from(group[0]) << 16)
            | (u32::from(*group.get(1).unwrap_or(&0)) << 8)
            | u32::from(*group.get(2).unwrap_or(&0));
        for place in 0..4 {
            if place > group.len() {
                text.push('=');
            } else {
                text.push(DIGITS[(n >> (18 - 6 * place)) as usize & 63] as char);
            }
        }
    }
    text
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| u8::from_str_radix(text.get(i + 1..i + 3)?, 16).ok());
        match hex.flatten() {
            Some(byte) => {
                decoded.push(byte);
                i += 3;
            }
            None => {
                decoded.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

pub fn query(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| percent_decode(value))
}

fn serve_store(shared: &(Mutex<StoreState>, Condvar), stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut head)) = read_head(&mut reader) {
        read_body(&mut reader, &mut head, false, None);
        let path = head.first.split(' ').nth(1).unwrap_or("").to_owned();
        let prefix = query(&path, "prefix").unwrap_or_default();
        let after = query(&path, "after").unwrap_or_default();
        let mut state = shared.0.lock().unwrap();
        let (status, body) = if path.starts_with("/kv-watch") {
            let after: u64 = after.parse().unwrap_or(0);
            let wait: u64 = query(&path, "wait_ms").and_then(|w| w.parse().ok()).unwrap_or(0);
            let until = Instant::now() + ms(wait);
            let era = state.era;
            loop {
                // A revision that it does not have, or no longer.
                if !state.down && (after > state.revision || after < state.compacted || era != state.era) {
                    break;
                }
                let found = |s: &StoreState| s.events.iter().any(|e| e.0 > after && e.1.starts_with(&prefix));
                let left = until.saturating_duration_since(Instant::now());
                if !state.down && (found(&state) || left.is_zero()) {
                    break;
                }
                let pause = if state.down { ms(50) } else { left.max(ms(1)) };
                state = shared.1.wait_timeout(state, pause).unwrap().0;
            }
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|e| e.0 > after && e.1.starts_with(&prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => format!(
                        r#"{{"key":"{key}","value":"{}","revision":{revision},"create_revision":{revision},"lease":0}}"#,
                        base64(value)
                    ),
                    None => format!(r#"{{"key":"{key}","revision":{revision},"removed":true}}"#),
                })
                .collect();
            let is_gone = after > state.revision || after < state.compacted || era != state.era;
            let status = if is_gone { 410 } else { 200 };
            (status, format!(r#"{{"events":[{}],"store_revision":{}}}"#, events.join(","), state.revision))
        } else if path.starts_with("/kv-range") {
            while state.down {
                state = shared.1.wait_timeout(state, ms(50)).unwrap().0;
            }
            let items: Vec<String> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .map(|(key, (value, revision))| {
                    format!(
                        r#"{{"key":"{key}","value":"{}","revision":{revision},"create_revision":{revision},"lease":0}}"#,
                        base64(value)
                    )
                })
                .collect();
            let items = items.join(",");
            (200, format!(r#"{{"items":[{items}],"truncated":false,"store_revision":{}}}"#, state.revision))
        } else {
            (404, "{}".to_owned())
        };
        let era = state.era;
        drop(state);
        let answer = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {era}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

// ---------------------------------------------------------------- runner

/// The whole body of a runner's answer.
pub fn whole_body(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

/// Runs as a runner; prints a line for each event.
pub fn run_runner(address: &str, id: &str) {
    let in_trouble = Arc::new(AtomicBool::new(false));
    let told = Arc::clone(&in_trouble);
    thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            told.store(line == "in trouble", Ordering::Relaxed);
        }
    });
    let listener = (0..100).find_map(|_| {
        let bound = TcpListener::bind(address).ok();
        if bound.is_none() {
            thread::sleep(ms(20));
        }
        bound
    });
    let listener = listener.expect("runner address");
    println!("LISTENING");
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        let in_trouble = Arc::clone(&in_trouble);
        thread::spawn(move || serve_runner(stream, &id, &in_trouble));
    }
}

fn say(text: String) {
    // One write a line, so that lines of threads do not mix.
    let _ = std::io::stdout().lock().write_all(format!("{text}\n").as_bytes());
}

fn serve_runner(stream: TcpStream, own: &str, in_trouble: &AtomicBool) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut head)) = read_head(&mut reader) {
        read_body(&mut reader, &mut head, false, None);
        if !head.complete {
            return;
        }
        let path = head.first.split(' ').nth(1).unwrap_or("").to_owned();
        let simple = |status: &str, headers: String, body: &str| {
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
        };
        if path == "/health" {
            let named = format!("X-Mangofront-Instance-Id: {own}\r\n");
            if writer.write_all(simple("200 OK", named, "").as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let id = head.header("x-mangofront-attempt-id").unwrap_or("none").to_owned();
        let arrived = unix_ms();
        let expected = head.header("x-mangofront-expect-instance").unwrap_or("none").to_owned();
        if expected != own {
            say(format!("WRONG {arrived} {own} {id} {expected}"));
            let named = format!("X-Mangofront-Instance-Id: {own}\r\nX-Mangofront-Not-Executed: 1\r\nX-Mangofront-Attempt-Id: {id}\r\n");
            if writer.write_all(simple("421 Misdirected Request", named, "").as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let tenant = head.header("x-mangofront-tenant").unwrap_or("none").to_owned();
        let deadline = head.header("x-mangofront-deadline-ms").unwrap_or("none").to_owned();
        say(format!("RUN {arrived} {own} {id} {tenant} {deadline} {path}"));
        let number = |name: &str, default: u64| query(&path, name).and_then(|v| v.parse().ok()).unwrap_or(default);
        let body = whole_body(&id, number("bytes", 800) as usize);
        let work = ms(number("work", 60));
        let common = format!("X-Mangofront-Attempt-Id: {id}\r\nX-Mangofront-Response-Seal: seal.{own}.{id}\r\n");
        if path.contains("unframed=1") {
            // An answer without a length, which ends with its channel.
            let half = body.len() / 2;
            let mut first = format!("HTTP/1.1 200 OK\r\n{common}Connection: close\r\n\r\n").into_bytes();
            first.extend_from_slice(&body[..half]);
            let _ = writer.write_all(&first);
            say(format!("HALF {} {own} {id}", unix_ms()));
            thread::sleep(work);
            let _ = writer.write_all(&body[half..]);
            say(format!("DONE {} {own} {id}", unix_ms()));
            return;
        }
        if path.contains("spoil=1") && in_trouble.load(Ordering::Relaxed) {
            // Bytes that are no answer, without end, in small pieces, until the caller closes.
            let _ = writer.write_all(format!("HTTP/1.1 200 OK\r\n{common}Connection: close\r\n\r\n").as_bytes());
            say(format!("SPOIL {} {own} {id}", unix_ms()));
            let piece = vec![b'x'; number("piece", 200) as usize];
            while writer.write_all(&piece).is_ok() {
                thread::sleep(Duration::from_micros(50));
            }
            say(format!("CLOSED {} {own} {id}", unix_ms()));
            return;
        }
        thread::sleep(work);
        let mut answer = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        answer.extend_from_slice(&body);
        if writer.write_all(&answer).is_err() {
            say(format!("LOST {} {own} {id}", unix_ms()));
            return;
        }
        say(format!("DONE {} {own} {id}", unix_ms()));
    }
}

/// An event that a runner reported.
#[derive(Clone, Debug)]
pub struct Event {
    pub what: String,
    /// Milliseconds of the record.
    pub at: u64,
    pub runner: String,
    pub request: String,
    /// The tenant that the runner was told; of `RUN` only.
    pub tenant: String,
}

pub type Events = Arc<Mutex<Vec<Event>>>;

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    child: Child,
}

impl Runner {
    pub fn start(record: &Record, events: &Events, address: SocketAddr, id: &str) -> Self {
        let mut command = Command::new(std::env::current_exe().unwrap());
        command.args(["runner", &address.to_string(), id]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = ends_with_us(&mut command)
            .spawn()
            .expect("runner");
        let mut lines = BufReader::new(child.stdout.take().unwrap());
        let mut first = String::new();
        let _ = lines.read_line(&mut first);
        record.line(&format!("runner {id} listens on {address}"));
        let (record, events) = (record.clone(), Arc::clone(events));
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let words: Vec<&str> = line.split(' ').collect();
                let word = |place: usize| words.get(place).map_or("", |word| *word).to_owned();
                let event = Event {
                    what: word(0),
                    at: record.at(word(1).parse().unwrap_or(0)),
                    runner: word(2),
                    request: word(3),
                    tenant: word(4),
                };
                record.line(&format!("runner says at {}: {line}", event.at));
                events.lock().unwrap().push(event);
            }
        });
        Self { id: id.to_owned(), address, child }
    }

    /// From now on it spoils the answers to requests that ask for it.
    pub fn get_into_trouble(&mut self) {
        if let Some(stdin) = &mut self.child.stdin {
            let _ = stdin.write_all(b"in trouble\n");
        }
    }

    pub fn kill(&mut self) {
        signal(self.child.id(), SIGKILL);
        let _ = self.child.wait();
    }
}

impl Drop for Runner {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- daemons

pub struct Daemon {
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Daemon {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// The platform starts the process again after it has ended.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        self.child = start_process(&self.settings, &self.log);
    }

    /// Memory that the process has resident, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, ms(300)) else { return false };
        let _ = stream.set_read_timeout(Some(ms(900)));
        let _ = stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
        matches!(read_head(&mut BufReader::new(stream)), Ok(Some(head)) if head.status() == 200)
    }
}

fn start_process(settings: &PathBuf, log: &PathBuf) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("log");
    let mut command = Command::new(std::env::var("DAEMON").expect("DAEMON names the program"));
    command.arg("--settings").arg(settings);
    command.stdout(Stdio::from(log.try_clone().unwrap())).stderr(Stdio::from(log));
    ends_with_us(&mut command).spawn().expect("daemon")
}

impl Drop for Daemon {
    fn drop(&mut self) {
        signal(self.child.id(), SIGCONT);
        signal(self.child.id(), SIGKILL);
        let _ = self.child.wait();
    }
}

/// A small deployment: the store, runners of two plain services, and daemons in zones of their own.
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub events: Events,
    pub runners: Vec<Runner>,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
    network: u8,
    bounds: Bounds,
}

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const TENANT: &str = "hule930";
pub const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Runners from this number on are of the service `desk`, the others of `app`.
const FIRST_OF_DESK: usize = 3;

/// Routes that need a key, and one that does not.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, anonymous: bool| {
        let service = if name == "desk" { "desk" } else { "app" };
        format!(
            r#"{{"name":"{name}","host":"shop.example","prefix":"/{name}/","kind":"{kind}","timeout_ms":10000,"target_latency_ms":300,"priority":1,"service":"{service}","attempts":2,"allow_anonymous":{anonymous}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{},{},{}],"services":[{{"name":"app","health_path":"/health","max_connections":96}},{{"name":"desk","health_path":"/health","max_connections":96}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"{TENANT}","api_keys":["{KEY}"],"priority":1}}]}}"#,
        route("order", "non_idempotent", false),
        route("desk", "non_idempotent", false),
        route("read", "idempotent", false),
        route("open", "idempotent", true)
    )
}

/// Bounds of a deployment, in milliseconds.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub config: u64,
    pub drain: u64,
    pub stability_window: u64,
}

/// Those of `tuul-fleet`.
pub const SMALL: Bounds = Bounds { config: 2_000, drain: 2_000, stability_window: 3_000 };

/// Those of the sites whose runners may start again under their ids.
pub const GROWN: Bounds = Bounds { config: 3_000, drain: 3_000, stability_window: 4_000 };

impl Deployment {
    pub fn start(runners: usize, daemons: usize) -> Self {
        Self::start_with(runners, daemons, SMALL)
    }

    pub fn start_with(runners: usize, daemons: usize, bounds: Bounds) -> Self {
        let record = Record::create();
        let network = 16 + (std::process::id() % 200) as u8;
        let ip = |host: u8| Ipv4Addr::new(127, network, 0, host);
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("temporary folder");
        let store = Store::start(ip(1));
        store.write("op/config", Some(&configuration(3)));
        let mut deployment = Self {
            record,
            store,
            events: Arc::default(),
            runners: Vec::new(),
            daemons: Vec::new(),
            folder,
            network,
            bounds,
        };
        for number in 0..runners {
            let address = free_address(ip(100 + number as u8));
            let id = format!("i-{number}");
            let runner = Runner::start(&deployment.record, &deployment.events, address, &id);
            deployment.runners.push(runner);
            deployment.register(number, "ready", unix_ms(), 1);
        }
        // The ports are the same on all machines.
        let ips: Vec<Ipv4Addr> = (0..daemons).map(|n| ip(10 + n as u8)).collect();
        let ports = free_ports(&ips, 5);
        for (number, own) in ips.iter().enumerate() {
            let daemon = deployment.start_daemon(number, *own, ips[0], &ports);
            deployment.daemons.push(daemon);
        }
        deployment.wait_until_ready();
        deployment
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + ms(20_000);
        while !self.daemons.iter().all(Daemon::is_ready) {
            if Instant::now() > until {
                cannot_run(&self.record, "the daemons did not become ready");
            }
            thread::sleep(ms(100));
        }
        self.record.line("all daemons are ready");
        // The machines are in touch once the stability window has passed.
        thread::sleep(ms(self.bounds.stability_window + 500));
    }

    fn start_daemon(&self, number: usize, own: Ipv4Addr, seed: Ipv4Addr, ports: &[u16]) -> Daemon {
        let zones: Vec<String> = ZONES.iter().map(|z| format!(r#""{z}":"local""#)).collect();
        let settings = format!(
            r#"{{
  "instance": "{own}", "region": "local", "availability_zone": "{zone}",
  "caller_address": "{own}:{p0}", "peer_address": "{own}:{p1}", "admin_address": "{own}:{p2}",
  "platform_address": "{store}", "logs": {{ "format": "json" }}, "limits": {{ "connect_timeout_ms": 400 }},
  "gateway": {{
    "ready_address": "{own}:{p3}", "news_address": "{own}:{p4}", "seeds": ["{seed}:{p1}"],
    "key_lease_ms": 5000, "configuration_bound_ms": {config}, "leaving_bound_ms": {drain},
    "second_send_ratio": 0.2, "second_send_slack_requests": 100, "engine_stall_ms": 1500,
    "second_send_window_s": 10, "zone_regions": {{ {zones} }}, "processor_cores": 0.25, "stop_grace_s": 8
  }}
}}"#,
            zone = ZONES[number % ZONES.len()],
            store = self.store.address,
            zones = zones.join(","),
            config = self.bounds.config,
            drain = self.bounds.drain,
            p0 = ports[0],
            p1 = ports[1],
            p2 = ports[2],
            p3 = ports[3],
            p4 = ports[4],
        );
        let path = self.folder.join(format!("daemon-{number}.jsonc"));
        std::fs::write(&path, settings).expect("settings");
        let log = self.folder.join(format!("daemon-{number}.log"));
        let child = start_process(&path, &log);
        self.record.line(&format!("daemon {number} started, pid {}, callers at {own}:{}", child.id(), ports[0]));
        Daemon {
            caller: SocketAddr::from((own, ports[0])),
            ready: SocketAddr::from((own, ports[3])),
            settings: path,
            log,
            child,
        }
    }

    /// Writes the entry of a runner; returns when the store acknowledged it.
    pub fn register(&self, number: usize, state: &str, born: u64, sequence: u64) -> u64 {
        let runner = &self.runners[number];
        let zone = ZONES[number % ZONES.len()];
        let service = if number < FIRST_OF_DESK { "app" } else { "desk" };
        let entry = format!(
            r#"{{"service":"{service}","address":"{}","zone":"{zone}","version":"v1","slots":6,"state":"{state}","cold_left_ms":0,"sequence":{sequence},"born":{born}}}"#,
            runner.address
        );
        let revision = self.store.write(&format!("servers/{}", runner.id), Some(&entry));
        let at = self.record.now();
        self.record.line(&format!("store acknowledged {revision}: servers/{} {state}, born {born}", runner.id));
        at
    }

    /// The log of a daemon.
    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("daemon-{number}.log"))).unwrap_or_default()
    }

    /// An address for another stand-in.
    pub fn address(&self, host: u8) -> SocketAddr {
        free_address(Ipv4Addr::new(127, self.network, 0, host))
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.clear();
        self.runners.clear();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn free_address(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddrV4::new(ip, 0)).expect("free port");
    listener.local_addr().unwrap()
}

/// Ports that are free for TCP and UDP at all of `ips`.
fn free_ports(ips: &[Ipv4Addr], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    while ports.len() < count {
        let port = free_address(ips[0]).port();
        let is_free = ips
            .iter()
            .all(|ip| TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok());
        if is_free && !ports.contains(&port) {
            ports.push(port);
        }
    }
    ports
}

/// Plays a case: true if the rule was broken. Exits with 1, 0, or 2 if it couldn't run.
pub fn play(case: impl FnOnce() -> bool + std::panic::UnwindSafe) -> ! {
    let code = match std::panic::catch_unwind(case) {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    std::process::exit(code)
}
