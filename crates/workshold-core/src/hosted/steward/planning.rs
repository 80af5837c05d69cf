//! Planning and executing the changes of one domain.

use std::collections::BTreeSet;

use workshold_protocol::Millis;

use crate::hosted::groups;
use crate::hosted::groups::Group;
use crate::hosted::identity::Identity;
use crate::hosted::planner;
use crate::hosted::planner::Change;
use crate::hosted::planner::Domain;
use crate::hosted::planner::Host;
use crate::hosted::planner::Limits;
use crate::hosted::planner::Ready;
use crate::hosted::roster::Entry;
use crate::hosted::roster::MemberState;
use crate::hosted::serving_config::ModelSpec;

use super::Command;
use super::DomainContext;
use super::Forming;
use super::Intended;
use super::Planned;
use super::Steward;
use super::situation::LEAVING_LINGERS;
use super::view;
use super::view::Free;

impl Steward {
    /// Plans over all domains and returns the changes of this one.
    pub(super) fn changes(
        &mut self,
        s: &DomainContext<'_>,
        groups: &[Group],
        pool: &[Free],
    ) -> Vec<Change> {
        let is_settled = s.now.since(s.last_arrival_at) >= self.rules.list_settles;
        if s.before_traffic && (!is_settled || pool.is_empty()) {
            return Vec::new();
        }
        let own = if s.before_traffic {
            super::listed(s.domain, s.entries, s.engine, true, |entry| s.can_serve(entry))
        } else {
            self.view(s, groups, pool)
        };
        if own.free.is_empty() && !s.may_close {
            self.planned.remove(&own.name);
            return Vec::new();
        }
        if !self.is_due(&own, s.now) {
            return Vec::new();
        }
        let mut domains = (s.others)();
        let at = domains.partition_point(|other| other.name < own.name);
        domains.insert(at, own);
        let is_loading = |entry: &&&Entry| self.is_staging(&entry.instance, s);
        let under_way = s.entries.iter().filter(is_loading).count();
        let limits = Limits {
            may_close: s.may_close && !s.before_traffic,
            joins_load: s.before_traffic,
            loads: (s.engine.loads_at_once as usize).saturating_sub(under_way),
        };
        let mut models = (s.models)();
        if s.before_traffic {
            models.iter_mut().for_each(|model| model.groups = 0.0);
        }
        let changes = planner::plan(domains, &models, limits);
        let own = changes.into_iter().filter(|change| change.domain == at);
        if s.before_traffic { self.not_begun(own, s, groups, pool) } else { own.collect() }
    }

    /// Whether to plan over all domains: this domain has changed since the last plan, or that plan
    /// is so old that other domains may have. In most rounds neither is the case.
    fn is_due(&mut self, own: &Domain, now: Millis) -> bool {
        let state = |ready: &Ready| (ready.needs_load, ready.waits, ready.is_bound);
        let host = |host: &Host| (host.id.clone(), host.ready.iter().map(state).collect());
        let free = own.free.iter().map(host);
        let standing = own.standing.iter().map(|group| group.epoch);
        let next = Planned { at: now, free: free.collect(), standing: standing.collect() };
        let last = self.planned.get(&own.name);
        let is_due = last.is_none_or(|last| {
            let has_changed = last.free != next.free || last.standing != next.standing;
            has_changed || now.since(last.at) >= self.rules.plan_again
        });
        if is_due {
            self.planned.insert(own.name.clone(), next);
        }
        is_due
    }

    /// Of the groups that the domain should have, returns those that are not being formed and do
    /// not serve yet, with free instances as their members.
    fn not_begun(
        &self,
        changes: impl Iterator<Item = Change>,
        s: &DomainContext<'_>,
        groups: &[Group],
        pool: &[Free],
    ) -> Vec<Change> {
        let mut begun: Vec<&str> = self
            .forming
            .values()
            .filter(|forming| forming.members.iter().any(|id| s.entry(id).is_some()))
            .map(|forming| forming.model.as_str())
            .collect();
        let of_others = groups.iter().filter(|group| !self.forming.contains_key(&group.epoch));
        let stands =
            |group: &&Group| view::is_forming(group) || group.state() == Some(MemberState::Open);
        begun.extend(of_others.filter(stands).map(Group::model));
        let mut free: Vec<&Identity> = pool.iter().map(|free| &free.instance().identity).collect();
        let mut left = Vec::new();
        for mut change in changes {
            let spec = &s.engine.models[change.model];
            if let Some(at) = begun.iter().position(|model| *model == spec.name.as_str()) {
                begun.swap_remove(at);
            } else if free.len() >= spec.size {
                change.members = free.drain(..spec.size).cloned().collect();
                left.push(change);
            }
        }
        left
    }

    /// Executes the changes that are possible now; the next round plans the others again.
    pub(super) fn carry_out(
        &mut self,
        s: &DomainContext<'_>,
        groups: &[Group],
        pool: &[Free],
        changes: &[Change],
        commands: &mut Vec<Command>,
    ) {
        for change in changes {
            let spec = &s.engine.models[change.model];
            let instances = change.members.iter().filter_map(|id| s.entry(id));
            if !change.loads.is_empty() {
                let lacking = instances.filter(|e| change.loads.contains(&e.instance.identity));
                for entry in lacking {
                    self.stage_one(&entry.instance, spec, s, commands);
                }
            } else if change.waits {
                // Wait until the weights have reached all members.
            } else if change.closes.is_empty() && are_free(&change.members, pool) {
                for members in change.members.chunks_exact(spec.size) {
                    self.start_forming(spec, members.to_vec(), s.now);
                }
            } else {
                self.close_for(change, spec, s, groups, commands);
            }
        }
    }

    fn close_for(
        &mut self,
        change: &Change,
        spec: &ModelSpec,
        s: &DomainContext<'_>,
        groups: &[Group],
        commands: &mut Vec<Command>,
    ) {
        let why = "its members are worth more in a group of another model";
        for group in groups.iter().filter(|group| change.closes.contains(&group.epoch)) {
            if let Some(head) = group.head() {
                self.close(group, head, false, why, s, commands);
            }
        }
        let until = s.now + LEAVING_LINGERS;
        for members in change.members.chunks_exact(spec.size) {
            let (domain, model) = (s.domain.clone(), spec.name.clone());
            self.intended.push(Intended { domain, model, members: members.to_vec(), until });
        }
    }

    /// Forms the groups that others were closed for, once all members are free.
    pub(super) fn form_intended(&mut self, s: &DomainContext<'_>, pool: &[Free]) {
        let is_fit = |id: &Identity| s.entry(id).is_some_and(|entry| s.can_serve(entry));
        let mut kept = Vec::new();
        for intended in std::mem::take(&mut self.intended) {
            let spec = s.engine.model(intended.model.as_str());
            let Some(spec) = spec.filter(|_| &intended.domain == s.domain) else {
                kept.push(intended);
                continue;
            };
            if !intended.members.iter().all(is_fit) {
                // A member was lost; the others are planned for again.
                continue;
            }
            if are_free(&intended.members, pool) {
                self.start_forming(spec, intended.members, s.now);
            } else {
                kept.push(intended);
            }
        }
        self.intended = kept;
    }

    fn start_forming(&mut self, model: &ModelSpec, members: Vec<Identity>, now: Millis) {
        let epoch = self.next_epoch();
        let group = groups::group_id(model.name.as_str(), epoch);
        let give_up_at = now + model.load + self.rules.patience;
        let forming = Forming {
            group,
            model: model.name.clone(),
            members,
            joined: BTreeSet::new(),
            give_up_at,
        };
        self.forming.insert(epoch, forming);
    }
}

fn are_free(members: &[Identity], pool: &[Free]) -> bool {
    members.iter().all(|id| pool.iter().any(|free| &free.instance().identity == id))
}

/// Describes the changes for logs.
pub(super) fn describe_changes(s: &DomainContext<'_>, changes: &[Change]) -> String {
    let tell = |change: &Change| {
        let model = &s.engine.models[change.model].name;
        let (size, closes, loads) = (change.members.len(), change.closes.len(), change.loads.len());
        format!("{model}:{size} closes:{closes} loads:{loads} brings:{:.0}", change.brings)
    };
    changes.iter().map(tell).collect::<Vec<_>>().join(", ")
}
