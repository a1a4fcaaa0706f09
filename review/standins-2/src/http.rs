//! The little of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head of a message: its first line and its headers in lower case.
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// The nth word of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.line.split(' ').nth(n).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before one begins.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut head = Head {
        line: line.trim_end().to_string(),
        headers: Vec::new(),
    };
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = line.split_once(':') {
            let (name, value) = (name.trim().to_lowercase(), value.trim().to_string());
            head.headers.push((name, value));
        }
    }
}

/// Reads a body that has a length or chunks into `body`; returns whether its end came.
pub fn read_body(from: &mut impl BufRead, head: &Head, body: &mut Vec<u8>) -> io::Result<bool> {
    if head
        .get("transfer-encoding")
        .is_some_and(|v| v.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Ok(false);
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let mut piece = vec![0; size + 2];
            from.read_exact(&mut piece)?;
            if size == 0 {
                return Ok(true);
            }
            body.extend_from_slice(&piece[..size]);
        }
    }
    let length = head.get("content-length").and_then(|v| v.parse().ok());
    let mut rest = vec![0; length.unwrap_or(0)];
    from.read_exact(&mut rest)?;
    body.extend_from_slice(&rest);
    Ok(length.is_some())
}

/// Writes a whole response.
pub fn respond(to: &mut TcpStream, status: u16, extra: &str, body: &[u8]) -> io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{extra}Content-Length: {length}\r\n\r\n");
    to.write_all(&[head.as_bytes(), body].concat())
}

/// What a consumer got for one request.
pub struct Reply {
    /// 0 if no answer began.
    pub status: u16,
    pub seal: Option<String>,
    pub body: Vec<u8>,
    /// Whether the answer's framing says that it is complete.
    pub complete: bool,
}

/// Sends one request on a new connection and reads the answer.
pub fn call(to: SocketAddr, request: &str, limit: Duration) -> Reply {
    let mut reply = Reply {
        status: 0,
        seal: None,
        body: Vec::new(),
        complete: false,
    };
    let mut exchange = || -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(limit))?;
        stream.write_all(request.as_bytes())?;
        let mut from = BufReader::new(stream);
        let Some(head) = read_head(&mut from)? else {
            return Ok(());
        };
        reply.status = head.status();
        reply.seal = head.get("x-response-seal").map(str::to_string);
        reply.complete = read_body(&mut from, &head, &mut reply.body)?;
        Ok(())
    };
    // What came before an error is in the reply.
    let _ = exchange();
    reply
}
