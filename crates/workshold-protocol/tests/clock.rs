//! The monotonic clock that leases, key expiry and timeouts use.

use std::fs;
use std::time::Duration;

use workshold_protocol::Clock;
use workshold_protocol::Millis;
use workshold_protocol::clock;
use workshold_protocol::clock::SystemClock;

/// Time since boot as the kernel reports it, time suspended included, with a resolution of 10 ms.
fn uptime() -> Duration {
    let text = fs::read_to_string("/proc/uptime").unwrap();
    Duration::from_secs_f64(text.split(' ').next().unwrap().parse().unwrap())
}

#[test]
fn monotonic_time_includes_time_suspended() {
    let before = uptime();
    let now = clock::since_boot();
    let after = uptime();
    // `/proc/uptime` is rounded down to 10 ms.
    assert!(
        before <= now && now <= after + Duration::from_millis(10),
        "{before:?} {now:?} {after:?}"
    );
}

#[test]
fn the_process_clock_advances() {
    let clock = SystemClock::default();
    let first = clock.now();
    std::thread::sleep(Duration::from_millis(20));
    let passed = clock.now().since(first);
    assert!(passed >= Millis(20), "{passed}");
}
