//! Which request an attempt is one of.

use comfreyhall_domain::Ask;
use comfreyhall_quarantine::Fingerprint;
use http::header;

use super::Job;

/// The identity of `ask` over all attempts: its caller (the host it calls and
/// its credential), what it calls, and its body. Ids, time limits and hints
/// differ from attempt to attempt and are left out.
fn print_of(ask: &Ask) -> Fingerprint {
    let credential = ask.message.headers.get(header::AUTHORIZATION);
    Fingerprint::of([
        ask.host.as_bytes(),
        credential.map_or(&[][..], |c| c.as_bytes()),
        ask.message.method.as_str().as_bytes(),
        ask.message.path.as_bytes(),
        &ask.message.body,
    ])
}

impl Job {
    /// Its identity over all attempts. Computed when first asked for: most
    /// requests are never compared with another.
    pub(crate) fn print(&self) -> Fingerprint {
        *self.print.get_or_init(|| print_of(&self.ask))
    }
}
