//! HTTP/1.1 over blocking sockets: just what the stand-ins need.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// The head and body of a request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// A parameter of the query, with its percent signs decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| decode(v))
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
    found.next().map(|(_, v)| v.as_str())
}

fn decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| bytes.get(at + 1..at + 3)).flatten();
        let hex = hex.and_then(|h| u8::from_str_radix(std::str::from_utf8(h).ok()?, 16).ok());
        out.push(hex.unwrap_or(bytes[at]));
        at += if hex.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn read_headers(from: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if from.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_string(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_string(), value.trim().to_string()));
    }
}

/// One chunk of a chunked body; empty at its end, `None` if the channel ended early.
pub fn read_chunk(from: &mut impl BufRead) -> Option<Vec<u8>> {
    let mut line = String::new();
    if from.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let size = usize::from_str_radix(line.trim().split(';').next()?, 16).ok()?;
    let mut data = vec![0; size + 2];
    from.read_exact(&mut data).ok()?;
    data.truncate(size);
    Some(data)
}

pub fn read_request(from: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_headers(from)?;
    let mut words = first.split(' ');
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let mut body = Vec::new();
    if let Some(length) = find(&headers, "content-length") {
        body.resize(length.parse().ok()?, 0);
        from.read_exact(&mut body).ok()?;
    } else if find(&headers, "transfer-encoding").is_some() {
        loop {
            let chunk = read_chunk(from)?;
            if chunk.is_empty() {
                break;
            }
            body.extend(chunk);
        }
    }
    Some(Request { method, path, headers, body })
}

/// Serves each connection on a thread. The handler says whether the channel is kept.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut from = BufReader::new(stream);
                while let Some(request) = read_request(&mut from) {
                    if !handler(&request, &mut out) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a whole answer; whether that succeeded.
pub fn answer(out: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes).is_ok()
}

/// Sends one request on a new channel; returns the reader and the head of the answer.
pub type Answer = (BufReader<TcpStream>, u16, Vec<(String, String)>);

pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(patience)).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let mut from = BufReader::new(stream);
    let (first, headers) = read_headers(&mut from)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((from, status, headers))
}
