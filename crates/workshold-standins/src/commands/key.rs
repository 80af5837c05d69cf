//! `workshold-dev key`: prints a new idempotency key.

use uuid::Uuid;

/// Prints a UUID of version 7.
#[expect(clippy::print_stdout, reason = "this is where a command prints")]
pub fn run() {
    println!("{}", Uuid::now_v7());
}
