//! Chooses the repair with the least expected cost for a group that lacks a member.
//!
//! The bundle sets the cost of an hour of a group's downtime and of an hour of a
//! stranded (unused) accelerator. The cost of an option is the expected sum of both
//! until the group is whole again. All inputs and rejected options are kept in the
//! [`RepairChoice`], so that operators can see the reasons.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use workshold_protocol::Millis;
use workshold_protocol::bundle::CostWeights;
use workshold_protocol::ids::RoleName;

/// Statistics of the deployment about instances that go missing.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expectations {
    /// Fraction of missing instances that only restart.
    pub restart_share: f64,
    /// Mean duration of a restart.
    pub restart_time: Millis,
    /// Mean time until the replacement of a failed instance.
    pub replacement_time: Millis,
}

impl Default for Expectations {
    /// The rates of an ordinary day: 76 restarts and 15 failures.
    fn default() -> Self {
        Self {
            restart_share: 76.0 / 91.0,
            restart_time: Millis::from_secs(120),
            replacement_time: Millis::from_secs(4 * 3600),
        }
    }
}

/// A group that lacks members, and the resources for its repair.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Situation {
    /// Number of instances in the whole group.
    pub size: u16,
    /// Worth of the group's role, relative to the model's best role.
    pub worth: f64,
    /// Accelerators per instance.
    pub accelerators: u16,
    /// Members that are missing.
    pub missing: u16,
    /// How long they have been missing.
    pub missing_for: Millis,
    /// Free instances of the domain, including missing members that came back.
    pub spares: u16,
    /// Remaining members of other broken groups of the same size in the domain.
    #[serde(rename = "other_rests")]
    pub other_remaining: u16,
    /// Time from the decision until the group's members are free again.
    pub release_time: Millis,
    /// Time to load the weights into the replacements; 0 if enough spares have them.
    pub load_time: Millis,
    /// Roles of the model that need fewer instances.
    pub smaller: Vec<SmallerRole>,
}

/// A role of the model that needs fewer instances than the group has.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct SmallerRole {
    /// The role's name.
    pub role: RoleName,
    /// Number of instances in a group of this role.
    pub instances: u16,
    /// Its worth, relative to the model's best role.
    pub worth: f64,
}

/// The ways to repair a group. The texts of `Display` are shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Repair {
    /// Keep the group and wait for the member to come back.
    Wait,
    /// Dissolve the group and form a new one that includes spares.
    UseSpare,
    /// Dissolve it and another broken group, and form one whole group from the
    /// remaining members of both.
    Merge,
    /// Dissolve it and form a group with this smaller role from the remaining members.
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

/// A possible repair with its expected cost.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RepairOption {
    /// The repair.
    pub repair: Repair,
    /// Expected cost, in the unit of the bundle's cost weights.
    pub cost: f64,
    /// Expected downtime, in group-hours weighted by worth.
    pub down_hours: f64,
    /// Expected time of stranded accelerators, in accelerator-hours.
    pub stranded_hours: f64,
}

/// The decision about one broken group, with its inputs and alternatives.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RepairChoice {
    /// The inputs.
    pub situation: Situation,
    /// Every possible repair, cheapest first; the first one is taken.
    pub options: Vec<RepairOption>,
}

impl RepairChoice {
    /// The repair that is carried out: the cheapest.
    pub fn taken(&self) -> &Repair {
        &self.options[0].repair
    }
}

/// Computes the expected cost of every repair that `situation` allows.
///
/// `weights` are the costs of an hour of downtime and of a stranded accelerator.
pub fn choose_repair(
    situation: Situation,
    expect: &Expectations,
    weights: CostWeights,
) -> RepairChoice {
    let costs = CostModel { situation: &situation, expect, weights };
    let mut options = vec![costs.wait()];
    options.extend(costs.use_spare());
    options.extend(costs.merge());
    options.extend(situation.smaller.iter().filter_map(|role| costs.shrink(role)));
    options.sort_by(|a, b| a.cost.total_cmp(&b.cost));
    RepairChoice { situation, options }
}

struct CostModel<'a> {
    situation: &'a Situation,
    expect: &'a Expectations,
    weights: CostWeights,
}

impl CostModel<'_> {
    /// Expected hours until the missing member is back, given how long it has been missing.
    ///
    /// A restart can be told from a failure only by its duration: the longer the member
    /// has been missing, the less likely it is restarting.
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

    /// Hours to dissolve a group and form another: its members are released, then the
    /// replacements load the weights.
    fn rebuild_hours(&self) -> f64 {
        Self::hours(self.situation.release_time + self.situation.load_time)
    }

    fn stranded(&self, instances: u16, hours: f64) -> f64 {
        f64::from(instances) * f64::from(self.situation.accelerators) * hours
    }

    fn remaining(&self) -> u16 {
        self.situation.size.saturating_sub(self.situation.missing)
    }

    fn option(&self, repair: Repair, down_hours: f64, stranded_hours: f64) -> RepairOption {
        let cost = self.weights.group_downtime * down_hours
            + self.weights.stranded_accelerator * stranded_hours;
        RepairOption { repair, cost, down_hours, stranded_hours }
    }

    /// A member may come back as a new incarnation, so the wait includes a rebuild of the
    /// group. Spares that could replace the member are idle meanwhile, as are the
    /// remaining members.
    fn wait(&self) -> RepairOption {
        let hours = self.hours_until_return() + self.rebuild_hours();
        let idle = self.remaining() + self.situation.spares.min(self.situation.missing);
        self.option(Repair::Wait, self.situation.worth * hours, self.stranded(idle, hours))
    }

    fn use_spare(&self) -> Option<RepairOption> {
        if self.situation.spares < self.situation.missing {
            return None;
        }
        let hours = self.rebuild_hours();
        let stranded = self.stranded(self.remaining() + self.situation.missing, hours);
        Some(self.option(Repair::UseSpare, self.situation.worth * hours, stranded))
    }

    /// One of the two broken groups is whole after a rebuild. The other one waits with
    /// the members that are left over, and for two members to return instead of one.
    fn merge(&self) -> Option<RepairOption> {
        let available = self.remaining() + self.situation.spares + self.situation.other_remaining;
        if self.situation.other_remaining == 0 || available < self.situation.size {
            return None;
        }
        let wait = self.hours_until_return() + self.rebuild_hours();
        let left_over = available - self.situation.size;
        // Without the merge, both groups would be down for `wait`. This charges the
        // second group's longer wait in full and credits the first group's shorter one.
        let second_wait = wait + self.hours_until_return() / 2.0;
        let down = self.situation.worth * (self.rebuild_hours() + second_wait - wait);
        let stranded = self.stranded(self.situation.size, self.rebuild_hours())
            + self.stranded(left_over, second_wait)
            - self.stranded(self.situation.other_remaining, wait);
        Some(self.option(Repair::Merge, down, stranded.max(0.0)))
    }

    /// A smaller group serves during the wait; growing back costs a second rebuild.
    fn shrink(&self, role: &SmallerRole) -> Option<RepairOption> {
        if role.instances > self.remaining() {
            return None;
        }
        let serving = self.hours_until_return();
        let lost_worth_hours = self.situation.worth * 2.0 * self.rebuild_hours()
            + (self.situation.worth - role.worth).max(0.0) * serving;
        let stranded = self.stranded(self.remaining(), 2.0 * self.rebuild_hours())
            + self.stranded(self.remaining() - role.instances, serving);
        Some(self.option(Repair::Shrink(role.role.clone()), lost_worth_hours, stranded))
    }
}
