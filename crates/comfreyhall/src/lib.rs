//! comfreyhall, a serving layer for very many LoRA adapters.
//!
//! This package holds only the programs: `comfreyhalld` (the daemon),
//! `comfreyhall` (the operator command line and load tool) and
//! `comfreyhall-standin` (the platform's stand-ins). Each is a thin `main`
//! over the library crates that do the work; what they make public is
//! listed here.

pub use comfreyhall_cli as cli;
pub use comfreyhall_daemon as daemon;
pub use comfreyhall_settings as settings;
pub use comfreyhall_standins as standins;
