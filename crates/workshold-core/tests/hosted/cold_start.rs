//! How a fleet of nodes keeps to what a cold instance takes, in virtual time.
//!
//! Guards against nodes that send to an instance as soon as it is back as much as to any other: a
//! burst then makes it fail.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use workshold_core::hosted::cold_start::ColdInstances;
use workshold_core::hosted::cold_start::ColdLimit;
use workshold_core::hosted::token_bucket::SenderShare;
use workshold_protocol::Millis;

const TICK: Millis = Millis(10);
const NOW: Millis = Millis(10_000);
const COLD_TIME: Millis = Millis(6_000);
/// Longest time until a node learns that the instance is cold, or that another node is gone.
const NEWS_TIME_MAX_MS: u64 = 300;
/// Longest time that a request is on its way, in milliseconds.
const TRANSIT_TIME_MAX_MS: u64 = 40;

struct Fleet {
    rng: ChaCha8Rng,
    cold: Vec<ColdInstances<u8>>,
    /// How many of the first nodes each node believes to be gone.
    gone: Vec<usize>,
    arrivals: Vec<Millis>,
}

impl Fleet {
    fn new(nodes: usize, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            cold: vec![ColdInstances::default(); nodes],
            gone: vec![0; nodes],
            arrivals: Vec::new(),
        }
    }

    /// Runs for [`COLD_TIME`] while the nodes from `first_up` on try to send `wanted` requests per
    /// second in all.
    fn run(&mut self, limit: ColdLimit, wanted: f64, first_up: impl Fn(Millis) -> usize) {
        let nodes = self.cold.len();
        let mut now = NOW;
        let told: Vec<Millis> =
            (0..nodes).map(|_| NOW + Millis(self.rng.random_range(0..NEWS_TIME_MAX_MS))).collect();
        while now + TICK < NOW + COLD_TIME {
            now = now + TICK;
            for (cold, told) in self.cold.iter_mut().zip(&told) {
                if *told <= now {
                    cold.on_cold(&0, NOW + COLD_TIME, now);
                }
            }
            let up = first_up(now);
            let sends = self.rng.random_bool((wanted * TICK.as_secs_f64()).fract()) as usize
                + (wanted * TICK.as_secs_f64()) as usize;
            for _ in 0..sends {
                let i = self.rng.random_range(up..nodes);
                if self.gone[i] != up && self.rng.random_bool(0.3) {
                    self.gone[i] = up;
                }
                if told[i] <= now {
                    self.send(i, limit, now);
                }
            }
        }
    }

    fn send(&mut self, i: usize, limit: ColdLimit, now: Millis) {
        let senders = limit.senders(self.cold.len());
        let is_sender = i >= self.gone[i] && i - self.gone[i] < senders;
        let share = SenderShare { is_sender, senders };
        if self.cold[i].time_until_send(&0, limit, share, now) == Millis::ZERO {
            self.cold[i].on_sent(&0, now);
            self.arrivals.push(now + Millis(self.rng.random_range(0..TRANSIT_TIME_MAX_MS)));
        }
    }

    fn max_in_second(&mut self) -> usize {
        self.arrivals.sort_unstable();
        let in_second = |from: &Millis| {
            self.arrivals
                .iter()
                .filter(|at| **at >= *from && at.since(*from) < Millis(1_000))
                .count()
        };
        self.arrivals.iter().map(in_second).max().unwrap_or_default()
    }
}

/// However many nodes there are and however much they want, no second brings more than the bound,
/// and more than half of what the instance bears is used.
#[rstest]
fn a_cold_instance_gets_what_it_bears_and_no_more(
    #[values(1, 9, 90, 350, 986)] nodes: usize,
    #[values((14.0, 26.0), (3.0, 9.5), (40.0, 65.0))] (per_s, max_in_second): (f64, f64),
    #[values(1, 2, 3)] seed: u64,
) {
    let limit = ColdLimit { per_s, max_in_second };
    let mut fleet = Fleet::new(nodes, seed);
    // Senders are a few of all nodes, so all together want far more than they may send.
    let wanted = per_s * 20.0 * (nodes as f64 / limit.senders(nodes) as f64);
    fleet.run(limit, wanted.min(90_000.0), |_| 0);
    let most = fleet.max_in_second();
    assert!(most as f64 <= max_in_second, "{most} requests came in one second");
    let used = fleet.arrivals.len() as f64 / COLD_TIME.as_secs_f64() / per_s;
    assert!(used > 0.5, "only {used:.2} of what it bears came");
}

/// Senders that are killed are replaced by others, which the nodes notice at different moments.
#[rstest]
fn other_senders_do_not_add_up(#[values(9, 90, 986)] nodes: usize, #[values(1, 2, 3)] seed: u64) {
    let limit = ColdLimit { per_s: 14.0, max_in_second: 26.0 };
    let mut fleet = Fleet::new(nodes, seed);
    let step = |now: Millis| (now.since(NOW).0 / 1_500) as usize;
    fleet.run(limit, 14.0 * 20.0 * nodes as f64 / 6.0, step);
    let most = fleet.max_in_second();
    assert!(most <= 26, "{most} requests came in one second");
}

/// A bound too low for one request a second still lets one through at a time.
#[test]
fn a_very_low_bound_keeps_the_instance_reachable() {
    let limit = ColdLimit { per_s: 0.1, max_in_second: 1.0 };
    let mut fleet = Fleet::new(9, 1);
    fleet.run(limit, 200.0, |_| 0);
    assert!(fleet.max_in_second() <= 1);
    assert!(!fleet.arrivals.is_empty());
}

/// An instance that is warm again takes what others take.
#[test]
fn a_warm_instance_takes_any_number() {
    let limit = ColdLimit { per_s: 14.0, max_in_second: 26.0 };
    let mut cold = ColdInstances::default();
    let share = SenderShare { is_sender: false, senders: 6 };
    assert!(cold.on_cold(&0, NOW + Millis(500), NOW));
    assert!(!cold.on_cold(&0, NOW + Millis(300), NOW), "it was known");
    assert_ne!(cold.time_until_send(&0, limit, share, NOW), Millis::ZERO);
    assert_ne!(cold.time_until_send(&0, limit, share, NOW + Millis(400)), Millis::ZERO);
    assert_eq!(cold.time_until_send(&0, limit, share, NOW + Millis(500)), Millis::ZERO);
    assert!(!cold.on_cold(&1, NOW, NOW), "no time left");
}
