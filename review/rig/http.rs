//! HTTP/1.1 messages over blocking sockets.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message that was read completely.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(k, _)| k.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// Path with the query.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(k, _)| *k == name).map(|(_, v)| v)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn attempt(&self) -> String {
        self.header("x-attempt-id").unwrap_or("-").to_owned()
    }
}

/// Reads one message with its body. `None` if the connection ends or fails first. A response without a length ends with
/// its connection.
pub fn read_message(reader: &mut BufReader<TcpStream>, is_response: bool) -> Option<Message> {
    let mut message = read_head(reader)?;
    let chunked =
        message.header("transfer-encoding").is_some_and(|v| v.to_ascii_lowercase().contains("chunked"));
    let length: Option<usize> = message.header("content-length").and_then(|v| v.parse().ok());
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    } else if is_response {
        reader.read_to_end(&mut message.body).ok()?;
    }
    Some(message)
}

/// Reads the start line and the headers of a message.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Some(message);
        }
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// What a client saw of one attempt.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status, or 0 if the connection ended, was reset or stayed silent.
    pub status: u16,
    pub message: Message,
    pub took: Duration,
}

/// One client attempt.
#[derive(Debug, Clone)]
pub struct Attempt<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: Option<&'a str>,
    pub deadline_ms: u64,
    pub body: &'a [u8],
}

impl Attempt<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        );
        if let Some(key) = self.key {
            head += &format!("X-Affinity-Key: {key}\r\n");
        }
        if self.method != "GET" {
            head += &format!("Content-Length: {}\r\n", self.body.len());
        }
        head += "\r\n";
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }
}

/// A client connection, kept open between attempts.
pub struct Client {
    pub reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { reader: BufReader::new(stream) })
    }

    /// Sends an attempt and waits for the whole answer, a second longer than its deadline at most.
    pub fn send(&mut self, attempt: &Attempt<'_>) -> Answer {
        let started = Instant::now();
        let _ =
            self.reader.get_ref().set_read_timeout(Some(Duration::from_millis(attempt.deadline_ms + 1_000)));
        let sent = self.reader.get_mut().write_all(&attempt.bytes()).is_ok();
        let message = if sent { read_message(&mut self.reader, true) } else { None };
        let message = message.unwrap_or_default();
        Answer { status: message.status(), message, took: started.elapsed() }
    }
}

/// Sends an attempt on a new connection.
pub fn call(address: SocketAddr, attempt: &Attempt<'_>) -> Answer {
    match Client::open(address) {
        Some(mut client) => client.send(attempt),
        None => Answer { status: 0, message: Message::default(), took: Duration::ZERO },
    }
}
