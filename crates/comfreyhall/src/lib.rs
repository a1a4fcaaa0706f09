//! comfreyhall, a serving layer for large numbers of LoRA adapters.
//!
//! This package contains only the programs: `comfreyhalld` (the daemon),
//! `comfreyhall` (the operator command line and load tool) and
//! `comfreyhall-standin` (stand-ins for the platform's services). Each is a thin
//! `main` over the library crates, which are re-exported here.

pub use comfreyhall_cli as cli;
pub use comfreyhall_daemon as daemon;
pub use comfreyhall_settings as settings;
pub use comfreyhall_standins as standins;
