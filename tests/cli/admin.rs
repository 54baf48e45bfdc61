//! A fake admin listener of a daemon that gives prepared answers, one for each call.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// Listens on a free port of loopback until all prepared answers are given.
pub struct FakeAdmin {
    address: String,
    calls: Arc<Mutex<Vec<String>>>,
}

impl FakeAdmin {
    pub fn start<const N: usize>(answers: [(u16, &'static str); N]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address").to_string();
        let calls = Arc::new(Mutex::new(Vec::new()));
        let recorded = Arc::clone(&calls);
        std::thread::spawn(move || {
            for (status, body) in answers {
                let (stream, _) = listener.accept().expect("a call");
                // Recorded before the answer is sent, so that a test that has received the
                // answer finds the call.
                let call = read_request(&stream);
                recorded.lock().expect("no panic before").push(call);
                send_answer(stream, status, body);
            }
        });
        Self { address, calls }
    }

    pub fn address(&self) -> &str {
        &self.address
    }

    /// Method, request target and body of each call so far.
    pub fn calls(&self) -> Vec<String> {
        self.calls.lock().expect("no panic before").clone()
    }
}

fn read_request(stream: &TcpStream) -> String {
    let mut reader = BufReader::new(stream);
    let mut request_line = String::new();
    reader.read_line(&mut request_line).expect("a request line");
    let mut body_bytes = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).expect("a header");
        let header = header.trim_end().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(length) = header.strip_prefix("content-length:") {
            body_bytes = length.trim().parse().expect("a length");
        }
    }
    let mut body = vec![0; body_bytes];
    reader.read_exact(&mut body).expect("a body");
    let target = request_line.trim_end().trim_end_matches(" HTTP/1.1");
    format!(
        "{target} {}",
        String::from_utf8(body).expect("the body is UTF-8")
    )
}

fn send_answer(mut stream: TcpStream, status: u16, body: &str) {
    let length = body.len();
    let head =
        format!("HTTP/1.1 {status} x\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("head is sent");
    stream.write_all(body.as_bytes()).expect("body is sent");
}
