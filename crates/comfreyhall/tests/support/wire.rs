//! A TCP wire between a daemon and what it talks to, which tests can cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

#[derive(Default)]
struct State {
    /// Connections opened before this count are silent.
    silent: AtomicU64,
    /// Connections opened so far.
    opened: AtomicU64,
    /// Whether new connections are refused and old ones reset.
    cut: AtomicBool,
    /// Ms that each piece is held up.
    delay: AtomicU64,
    /// Whether bytes to the target, and those back from it, are held back.
    held: [AtomicBool; 2],
    /// Whether nothing listens, so that new connections are refused.
    refuses: AtomicBool,
}

/// Interval between looks whether a wire that refuses is mended.
const REFUSE_POLL: Duration = Duration::from_millis(5);

/// Forwards connections to one address until told otherwise.
#[derive(Clone)]
pub struct Wire {
    /// Where to connect to.
    pub addr: String,
    state: Arc<State>,
}

impl Wire {
    /// A wire to `target`.
    pub fn to(target: &str) -> Self {
        // Another process may take a free port before it is bound.
        let listener = loop {
            if let Ok(bound) = TcpListener::bind(("127.0.0.1", super::free_port())) {
                break bound;
            }
        };
        let addr = listener.local_addr().unwrap().to_string();
        let state = Arc::new(State::default());
        let wire = state.clone();
        let target = target.to_string();
        let listen_addr = addr.clone();
        std::thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if wire.refuses.load(Ordering::SeqCst) {
                    listener = None;
                    std::thread::sleep(REFUSE_POLL);
                    continue;
                }
                let Some(open) = &listener else {
                    listener = TcpListener::bind(&listen_addr).ok();
                    continue;
                };
                let Ok((near, _)) = open.accept() else {
                    continue;
                };
                let number = wire.opened.fetch_add(1, Ordering::SeqCst) + 1;
                if wire.cut.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(far) = TcpStream::connect(&target) else {
                    continue;
                };
                pump(&near, &far, &wire, number, false);
                pump(&far, &near, &wire, number, true);
            }
        });
        Self { addr, state }
    }

    /// Makes every connection open now silent for good: no byte passes and
    /// nothing is closed. New ones work.
    pub fn silence(&self) {
        let opened = self.state.opened.load(Ordering::SeqCst);
        self.state.silent.store(opened, Ordering::SeqCst);
    }

    /// Holds every piece up for `ms`; 0 for not at all.
    pub fn delay(&self, ms: u64) {
        self.state.delay.store(ms, Ordering::SeqCst);
    }

    /// Lets nothing pass back from the target until the wire is mended.
    pub fn one_way(&self, one_way: bool) {
        self.hold(false, one_way);
    }

    /// Holds bytes to the target back, and those from it, or lets all of them through
    /// in their order. Connections open and stay open.
    pub fn hold(&self, to: bool, from: bool) {
        self.state.held[0].store(to, Ordering::SeqCst);
        self.state.held[1].store(from, Ordering::SeqCst);
    }

    /// Closes every connection and refuses new ones, or mends the wire.
    pub fn refuse(&self, refuse: bool) {
        self.state.refuses.store(refuse, Ordering::SeqCst);
        self.cut(refuse);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(&self.addr);
    }

    /// Resets every connection and closes new ones, or mends the wire.
    pub fn cut(&self, cut: bool) {
        self.state.cut.store(cut, Ordering::SeqCst);
    }
}

fn pump(from: &TcpStream, to: &TcpStream, state: &Arc<State>, number: u64, back: bool) {
    let (mut from, mut to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
    let state = state.clone();
    std::thread::spawn(move || {
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let mut buf = [0; 16 << 10];
        loop {
            if state.cut.load(Ordering::SeqCst) {
                break;
            }
            if state.held[usize::from(back)].load(Ordering::SeqCst) {
                // Held back, not lost: a link that heals sends everything again.
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            let read = from.read(&mut buf);
            if number <= state.silent.load(Ordering::SeqCst) {
                // Swallow what comes; keep both ends open.
                match read {
                    Ok(0) => break,
                    _ => continue,
                }
            }
            match read {
                Ok(0) => break,
                Ok(n) => {
                    let delay = state.delay.load(Ordering::SeqCst);
                    std::thread::sleep(Duration::from_millis(delay));
                    if to.write_all(&buf[..n]).is_err() {
                        break;
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}
