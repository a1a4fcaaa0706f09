//! Bounds on bytes at a daemon process; what is sent on the wire stays in `platform/`.

mod support;

#[path = "../../../platform/tests/emulator/mod.rs"]
mod emulator;

#[path = "../../../platform/tests/process/bytes.rs"]
mod process;
