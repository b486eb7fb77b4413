//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read};
use std::net::TcpStream;

/// A received message.
#[derive(Debug, Clone)]
pub struct Message {
    /// First line and headers, up to the empty line.
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// A word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.head.lines().next().and_then(|line| line.split(' ').nth(n)).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// Reads messages from a connection.
pub struct Reader<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
}

impl<'a> Reader<'a> {
    pub fn new(stream: &'a TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16 << 10];
        let n = self.stream.read(&mut part)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&part[..n]);
        Ok(())
    }

    /// Reads a head, up to the empty line.
    pub fn head(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Ok(String::from_utf8_lossy(&head).into_owned());
            }
            self.fill()?;
        }
    }

    fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < len {
            self.fill()?;
        }
        Ok(self.buffer.drain(..len).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the body that belongs to a head, by its length or in chunks.
    pub fn body(&mut self, head: &str) -> io::Result<Vec<u8>> {
        if header(head, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                body.extend(self.exact(size)?);
                self.line()?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = header(head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.exact(length)
    }

    /// Reads a whole message.
    pub fn message(&mut self) -> io::Result<Message> {
        let head = self.head()?;
        let body = self.body(&head)?;
        Ok(Message { head, body })
    }
}

/// A parameter of a query.
pub fn parameter(target: &str, name: &str) -> String {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    decode(pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
