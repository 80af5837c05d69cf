//! What to do about a group that misses a member: the decision of least cost.
//!
//! The deployment says what an hour of either loss costs it: a group down, or
//! an accelerator stranded. Each option's cost is the expected sum of both until
//! the group is whole again. All inputs and rejected options stay in the
//! [`Choice`], so that an operator can read why.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::Millis;
use workshold_protocol::bundle::Weights;
use workshold_protocol::ids::RoleName;

/// What the deployment's past says of instances that go missing.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectations {
    /// Share of missing instances that only restart.
    pub restart_share: f64,
    /// Mean time that a restart takes.
    pub restart_time: Millis,
    /// Mean time until a broken instance is replaced.
    pub replacement_time: Millis,
}

impl Default for Expectations {
    /// The rates of an ordinary day: 76 restarts, 15 failures.
    fn default() -> Self {
        Self {
            restart_share: 76.0 / 91.0,
            restart_time: Millis::from_secs(120),
            replacement_time: Millis::from_secs(4 * 3600),
        }
    }
}

/// A group that misses members, and what is at hand.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Situation {
    /// Instances that the group's role takes.
    pub size: u16,
    /// Worth of the group's role.
    pub worth: f64,
    /// Accelerators of one instance.
    pub accelerators: u16,
    /// Members that are gone.
    pub missing: u16,
    /// For how long.
    pub missing_for: Millis,
    /// Free instances of the domain, members that came back included.
    pub spares: u16,
    /// Members left of other broken groups of the domain, whose role is as large.
    pub other_rests: u16,
    /// Time from the decision until the members are free again.
    pub release_time: Millis,
    /// Time to load the weights into an instance that has none.
    pub load_time: Millis,
    /// Smaller roles of the model.
    pub smaller: Vec<SmallerRole>,
}

/// A role that takes fewer instances.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SmallerRole {
    /// Its name.
    pub role: RoleName,
    /// Instances that it takes.
    pub instances: u16,
    /// Its worth.
    pub worth: f64,
}

/// What can be done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repair {
    /// Keep the group and wait until the member is back.
    Wait,
    /// End the group and form it anew with a spare.
    UseSpare,
    /// End it together with another broken one, and make one whole of the rests.
    Merge,
    /// End it and form a smaller one of the rest.
    Shrink(RoleName),
}

impl fmt::Display for Repair {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Wait => f.write_str("wait"),
            Self::UseSpare => f.write_str("use a spare"),
            Self::Merge => f.write_str("merge with another broken group"),
            Self::Shrink(role) => write!(f, "shrink to {role}"),
        }
    }
}

/// An option and its expected cost.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Weighed {
    /// The option.
    pub repair: Repair,
    /// Expected cost, in the unit of the deployment's weights.
    pub cost: f64,
    /// The part of it that is downtime, in group-hours.
    pub down_hours: f64,
    /// The part of it that is stranded accelerators, in accelerator-hours.
    pub stranded_hours: f64,
}

/// The decision with all that was weighed, cheapest first.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Choice {
    /// What was known.
    pub situation: Situation,
    /// Every option that was possible; the first one is taken.
    pub options: Vec<Weighed>,
}

impl Choice {
    /// The option taken.
    pub fn taken(&self) -> &Repair {
        &self.options[0].repair
    }
}

/// Weighs all options that `situation` allows.
pub fn choose(situation: Situation, expect: &Expectations, weights: Weights) -> Choice {
    let scale = Scale { situation: &situation, expect, weights };
    let mut options = vec![scale.wait()];
    options.extend(scale.use_spare());
    options.extend(scale.merge());
    options.extend(situation.smaller.iter().filter_map(|role| scale.shrink(role)));
    options.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    Choice { situation, options }
}

struct Scale<'a> {
    situation: &'a Situation,
    expect: &'a Expectations,
    weights: Weights,
}

impl Scale<'_> {
    /// Expected hours until the missing member is back, given how long it has been gone.
    ///
    /// A restart and a failure are told apart only by time: the longer it lasts,
    /// the less likely it is a restart.
    fn hours_until_return(&self) -> f64 {
        let gone = self.situation.missing_for.as_secs_f64();
        let restart = self.expect.restart_time.as_secs_f64().max(1.0);
        let replacement = self.expect.replacement_time.as_secs_f64().max(1.0);
        let still_restarting = self.expect.restart_share * (-gone / restart).exp();
        let still_broken = (1.0 - self.expect.restart_share) * (-gone / replacement).exp();
        let share = still_restarting / (still_restarting + still_broken).max(f64::MIN_POSITIVE);
        (share * restart + (1.0 - share) * replacement) / 3600.0
    }

    fn hours(time: Millis) -> f64 {
        time.as_secs_f64() / 3600.0
    }

    /// Ending a group and forming another: members are released, one loads.
    fn rebuild_hours(&self) -> f64 {
        Self::hours(self.situation.release_time + self.situation.load_time)
    }

    fn stranded(&self, instances: u16, hours: f64) -> f64 {
        f64::from(instances) * f64::from(self.situation.accelerators) * hours
    }

    fn rest(&self) -> u16 {
        self.situation.size.saturating_sub(self.situation.missing)
    }

    fn weighed(&self, repair: Repair, down_hours: f64, stranded_hours: f64) -> Weighed {
        let cost = self.weights.group_downtime * down_hours
            + self.weights.stranded_accelerator * stranded_hours;
        Weighed { repair, cost, down_hours, stranded_hours }
    }

    /// The member may come back as another life: then the group is formed anew.
    /// Spares that could stand in for it idle meanwhile, like the rest.
    fn wait(&self) -> Weighed {
        let hours = self.hours_until_return() + self.rebuild_hours();
        let idle = self.rest() + self.situation.spares.min(self.situation.missing);
        self.weighed(Repair::Wait, self.situation.worth * hours, self.stranded(idle, hours))
    }

    fn use_spare(&self) -> Option<Weighed> {
        if self.situation.spares < self.situation.missing {
            return None;
        }
        let hours = self.rebuild_hours();
        let stranded = self.stranded(self.rest() + self.situation.missing, hours);
        Some(self.weighed(Repair::UseSpare, self.situation.worth * hours, stranded))
    }

    /// One of two broken groups is whole after a rebuild; the other waits with
    /// what is left over, and then for two returns instead of one.
    fn merge(&self) -> Option<Weighed> {
        let at_hand = self.rest() + self.situation.spares + self.situation.other_rests;
        if self.situation.other_rests == 0 || at_hand < self.situation.size {
            return None;
        }
        let wait = self.hours_until_return() + self.rebuild_hours();
        let left_over = at_hand - self.situation.size;
        // Both groups would have been down for `wait`; this charges the whole
        // of the second group's longer wait, and credits what it spares the first.
        let second_wait = wait + self.hours_until_return() / 2.0;
        let down = self.situation.worth * (self.rebuild_hours() + second_wait - wait);
        let stranded = self.stranded(self.situation.size, self.rebuild_hours())
            + self.stranded(left_over, second_wait)
            - self.stranded(self.situation.other_rests, wait);
        Some(self.weighed(Repair::Merge, down, stranded.max(0.0)))
    }

    /// A smaller group serves while waiting; growing again costs a second rebuild.
    fn shrink(&self, role: &SmallerRole) -> Option<Weighed> {
        if role.instances > self.rest() {
            return None;
        }
        let serving = self.hours_until_return();
        let lost = self.situation.worth * 2.0 * self.rebuild_hours()
            + (self.situation.worth - role.worth).max(0.0) * serving;
        let stranded = self.stranded(self.rest(), 2.0 * self.rebuild_hours())
            + self.stranded(self.rest() - role.instances, serving);
        Some(self.weighed(Repair::Shrink(role.role.clone()), lost, stranded))
    }
}
