//! Which requests are admitted when not all can be.
//!
//! Ranks are admitted in their order, and within a rank the kinds in the order of [`ArrivalKind`].
//! One kind of one rank, a class, is the last that is admitted, and only in part. There, teams
//! are treated by max-min fairness: all teams get the same number of admissions, or as many as
//! they ask for if that is fewer. A floor keeps a large team's admitted fraction close to the mean.
//!
//! Every node decides from the arrivals that it has counted itself. The counts decay at one rate,
//! so only their ratios matter, and these do not change between arrivals.
//!
//! Order between ranks is strict: under lasting overload by more urgent ranks, the floor does not
//! protect a team all of whose requests have a less urgent rank.

use workshold_protocol::Millis;

use super::Arrival;
use super::ArrivalKind;
use super::unit_hash;

/// Rules of the order of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrecedenceRules {
    /// Number of ranks; a higher rank in a request counts as the last one.
    pub ranks: u8,
    /// Time constant of the exponential decay by which an arrival counts less and less.
    pub decay_time: Millis,
    /// What the returning callers of a rank take of the capacity that is left for it, as a fraction,
    /// before new ones do. Below 1, a lasting overload leaves some capacity for requests that can
    /// still be answered in time; above 1, callers that return as told are admitted beyond it.
    pub returning_share: f64,
}

impl Default for PrecedenceRules {
    fn default() -> Self {
        Self { ranks: 1, decay_time: Millis(2_000), returning_share: 1.0 }
    }
}

/// No team's admitted fraction is below this part of the mean of its class.
const CLASS_FLOOR: f64 = 0.5;
/// No team's admitted fraction is below this part of the mean of all requests, as far as the
/// capacity left for its class allows.
const OVERALL_FLOOR: f64 = 0.25;
/// Largest number of teams counted separately in one class. Any more are counted as one team.
const TEAMS_MAX: usize = 128;
/// A team with fewer decayed arrivals than this has sent nothing for about four time constants and
/// may be dropped.
const IDLE_COUNT: f64 = 0.02;
/// Part of an arrival that counts at once; the rest counts from the next arrival on. If it counted
/// in full for its own admission, each request would make its team look larger than the others:
/// nodes with three arrivals a second of 40 teams admitted 0.22 of them instead of 0.3.
const OWN_PART: f64 = 0.5;
/// Weight of an arrival at which all counts are scaled down, long before sums lose precision.
const WEIGHT_MAX: f64 = 1e9;
/// Bisection steps for the number of admissions that each team may have: exact to about 1e-12 of
/// the largest team's.
const BISECTION_STEPS: u32 = 40;
/// Distinguishes the draw of [`draw`] from other hashes of the fingerprint.
const DRAW_PURPOSE: u64 = 1;

/// Length of the periods in which a request's draw stays the same: longer than impatient callers
/// go on repeating a request, and short enough that no content is refused for long by its draw.
const DRAW_PERIOD: Millis = Millis::from_secs(4);

/// A number in [0, 1) for the comparison with [`Precedence::admitted_fraction`]. It depends on the
/// content of the request and on the period of the wall-clock time only, so a caller that repeats a
/// refused request at once, here or at other nodes, doesn't get another chance. Its next chance is
/// its return at the time that it was told, as [`ArrivalKind::Returning`].
pub fn draw(fingerprint: u64, wall: Millis) -> f64 {
    unit_hash(fingerprint ^ (wall.0 / DRAW_PERIOD.0).rotate_left(32), DRAW_PURPOSE)
}

/// Ranks by the priorities of team and route; the team's is compared first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RankTable {
    /// Distinct pairs of a team's and a route's priority, the most urgent first.
    priorities: Vec<(u8, u8)>,
}

impl RankTable {
    /// The ranks of a configuration with these pairs of a team's and a route's priority.
    pub fn new(pairs: impl IntoIterator<Item = (u8, u8)>) -> Self {
        let mut priorities: Vec<_> = pairs.into_iter().collect();
        priorities.sort_unstable();
        priorities.dedup();
        Self { priorities }
    }

    /// Number of ranks, at least 1.
    pub fn ranks(&self) -> u8 {
        u8::try_from(self.priorities.len()).unwrap_or(u8::MAX).max(1)
    }

    /// The rank of a request; the lowest one for a pair that isn't configured.
    pub fn rank(&self, team_priority: u8, route_priority: u8) -> u8 {
        let lowest = self.ranks() - 1;
        let index = self.priorities.binary_search(&(team_priority, route_priority));
        index.map_or(lowest, |index| u8::try_from(index).unwrap_or(lowest).min(lowest))
    }
}

/// The arrivals of one kind in one rank. Counts are in units that grow with time; see
/// [`Precedence::weight`].
#[derive(Debug, Clone, Default)]
struct Class {
    total: f64,
    /// Teams and their counts, ordered by team.
    teams: Vec<(u32, f64)>,
    /// Count of the teams that aren't counted separately.
    others: f64,
}

impl Class {
    fn add(&mut self, team: u32, weight: f64) {
        self.total += weight;
        let position = self.teams.binary_search_by_key(&team, |entry| entry.0);
        if let Ok(index) = position {
            self.teams[index].1 += weight;
            return;
        }
        if self.teams.len() >= TEAMS_MAX {
            self.drop_idle_teams(weight * IDLE_COUNT);
        }
        if self.teams.len() >= TEAMS_MAX {
            self.others += weight;
            return;
        }
        let index = self.teams.partition_point(|entry| entry.0 < team);
        self.teams.insert(index, (team, weight));
    }

    /// Counts teams with less than `min_count` among the others.
    fn drop_idle_teams(&mut self, min_count: f64) {
        let others = &mut self.others;
        self.teams.retain(|entry| {
            let is_active = entry.1 >= min_count;
            if !is_active {
                *others += entry.1;
            }
            is_active
        });
    }

    fn scale(&mut self, factor: f64) {
        self.total *= factor;
        self.others *= factor;
        self.teams.iter_mut().for_each(|entry| entry.1 *= factor);
    }

    fn count_of(&self, team: u32) -> f64 {
        let position = self.teams.binary_search_by_key(&team, |entry| entry.0);
        position.map_or(self.others, |index| self.teams[index].1)
    }

    /// The fraction of `team`'s requests that is admitted if `capacity` of the class's requests
    /// are, and `overall_mean` of all requests. The teams' admissions add up to `capacity`.
    fn team_fraction(&self, team: u32, capacity: f64, overall_mean: f64) -> f64 {
        let mean = (capacity / self.total).min(1.0);
        let floor = (mean * CLASS_FLOOR).max(overall_mean * OVERALL_FLOOR).min(mean);
        let count = self.count_of(team);
        if count <= 0.0 {
            return floor;
        }
        (self.fair_level(capacity, floor) / count).clamp(floor, 1.0)
    }

    /// The number of admissions that each team gets, unless it asks for fewer or its floor gives
    /// it more.
    fn fair_level(&self, capacity: f64, floor: f64) -> f64 {
        let admitted = |level: f64| {
            let of_team = |count: f64| level.clamp(count * floor, count);
            let of_teams: f64 = self.teams.iter().map(|entry| of_team(entry.1)).sum();
            of_teams + of_team(self.others)
        };
        let mut low = 0.0;
        let mut high = self.teams.iter().map(|entry| entry.1).fold(self.others, f64::max);
        for _ in 0..BISECTION_STEPS {
            let middle = f64::midpoint(low, high);
            if admitted(middle) <= capacity {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }
}

/// The arrivals for one model at this node, and the order in which they are admitted.
#[derive(Debug, Clone)]
pub struct Precedence {
    rules: PrecedenceRules,
    /// One class for each kind, for each rank.
    classes: Vec<[Class; ArrivalKind::ALL.len()]>,
    /// The count that an arrival adds now. It grows with time while counts stay as they are, which
    /// lets an arrival decay all earlier ones without touching them.
    weight: f64,
    counted_at: Millis,
    /// The newest arrival with its weight, which counts in part so far.
    newest: Option<(Arrival, f64)>,
}

impl Precedence {
    /// A node that has counted no arrivals.
    pub fn new(rules: PrecedenceRules) -> Self {
        let classes = vec![Default::default(); usize::from(rules.ranks.max(1))];
        Self { rules, classes, weight: 1.0, counted_at: Millis::ZERO, newest: None }
    }

    /// Counts a request that arrived, whether or not it is admitted. While `now` is earlier than
    /// at the last arrival nothing decays.
    pub fn on_arrival(&mut self, arrival: &Arrival, now: Millis) {
        if let Some((newest, weight)) = self.newest.take() {
            self.count(&newest, weight * (1.0 - OWN_PART));
        }
        let elapsed = now.since(self.counted_at).0 as f64;
        self.counted_at = now;
        self.weight *= (elapsed / self.rules.decay_time.0.max(1) as f64).exp();
        if self.weight > WEIGHT_MAX {
            self.scale_down();
        }
        self.count(arrival, self.weight * OWN_PART);
        self.newest = Some((*arrival, self.weight));
    }

    /// The probability with which `arrival` is to be admitted if the fraction `model_fraction` of
    /// all arrivals can be: 1 if there is no fraction (not a number), since it limits nothing then.
    /// The arrival must have been counted by [`Self::on_arrival`] just before.
    pub fn admitted_fraction(&self, arrival: &Arrival, model_fraction: f64) -> f64 {
        if model_fraction.is_nan() || model_fraction >= 1.0 {
            return 1.0;
        }
        let capacity = model_fraction.max(0.0) * self.ordered_totals().sum::<f64>();
        let rank = self.rank_index(arrival);
        let ahead_of_rank: f64 = self.ordered_totals().take(rank * ArrivalKind::ALL.len()).sum();
        // Both sums add in one order, so that rounding can't admit a class in part while one ahead
        // of it isn't admitted in full.
        if capacity <= ahead_of_rank {
            return 0.0;
        }
        let class = &self.classes[rank][arrival.kind as usize];
        let left = self.left_for_class(rank, arrival.kind, capacity - ahead_of_rank);
        if left <= 0.0 {
            return 0.0;
        }
        if left >= class.total {
            return 1.0;
        }
        class.team_fraction(arrival.team, left, model_fraction)
    }

    /// What is left of the `capacity` of a rank for one kind of its requests.
    fn left_for_class(&self, rank: usize, kind: ArrivalKind, capacity: f64) -> f64 {
        let [returning, new, early] = &self.classes[rank];
        let unused = capacity - new.total - early.total;
        let for_returning = (capacity * self.rules.returning_share).max(unused);
        match kind {
            ArrivalKind::Returning => for_returning,
            ArrivalKind::New => capacity - returning.total.min(for_returning),
            ArrivalKind::Early => capacity - returning.total.min(for_returning) - new.total,
        }
    }

    /// Number of teams counted separately, in all classes together.
    pub fn counted_teams(&self) -> usize {
        self.classes.iter().flatten().map(|class| class.teams.len()).sum()
    }

    fn count(&mut self, arrival: &Arrival, weight: f64) {
        let rank = self.rank_index(arrival);
        self.classes[rank][arrival.kind as usize].add(arrival.team, weight);
    }

    /// Counts of the classes, in the order of admission.
    fn ordered_totals(&self) -> impl Iterator<Item = f64> {
        self.classes.iter().flatten().map(|class| class.total)
    }

    fn rank_index(&self, arrival: &Arrival) -> usize {
        usize::from(arrival.rank).min(self.classes.len() - 1)
    }

    /// Expresses all counts in units of the present weight.
    fn scale_down(&mut self) {
        let factor = 1.0 / self.weight;
        self.classes.iter_mut().flatten().for_each(|class| class.scale(factor));
        self.weight = 1.0;
    }
}
