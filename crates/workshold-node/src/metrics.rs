//! Sends the counters to a statsd server with `cadence`.

use std::fmt::Write as _;
use std::net::UdpSocket;

use cadence::Counted;
use cadence::StatsdClient;
use cadence::UdpMetricSink;

use crate::counters::Counters;

/// Prefix of all metric names.
pub const PREFIX: &str = "workshold";

/// Sends the increase of each counter since it was last sent.
#[derive(Debug)]
pub struct MetricsSender {
    client: StatsdClient,
    last: Vec<u64>,
}

impl MetricsSender {
    /// Makes a sender to the statsd server at `address` (`ip:port`).
    ///
    /// # Errors
    ///
    /// The error of the operating system if no UDP socket can be opened.
    pub fn new(address: &str) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink(PREFIX, sink);
        Ok(Self { client, last: vec![0; Counters::METRICS.len()] })
    }

    /// Sends the increases over UDP. One that is lost is not sent again.
    pub fn send(&mut self, counters: &Counters) {
        let values = counters.values();
        let changes = Counters::METRICS.iter().zip(values.iter().zip(&self.last));
        for ((name, _), (now, last)) in changes {
            let change = i64::try_from(now - last).unwrap_or(i64::MAX);
            if change > 0 {
                let _ = self.client.count(name, change);
            }
        }
        self.last = values;
    }
}

/// Returns the text of `docs/METRICS.md`.
pub fn reference_page() -> String {
    let mut text = String::from(
        "# Metrics\n\nSent to the statsd server of the settings every ten seconds, as counters.\n\n\
         | metric | counts |\n| --- | --- |\n",
    );
    for (name, what) in Counters::METRICS {
        let _ = writeln!(text, "| {PREFIX}.{name} | {what} |");
    }
    text
}
