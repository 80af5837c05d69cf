//! A domain on the users' platform, in virtual time: instances that carry orders out
//! late, stewards that race, freeze and die, and the promises about groups.
//!
//! Time matters too much here for a search of all states. So worlds are drawn from
//! seeds; the steward is the shipped one.

mod copies;
mod engine;
mod office;

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use workshold_core::hosted::capacity::Utility;
use workshold_core::hosted::capacity::Workload;
use workshold_core::hosted::planner;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::roster::ListTrust;
use workshold_core::hosted::roster::Roster;
use workshold_core::hosted::serving_config::Engine;
use workshold_core::hosted::serving_config::ModelSpec;
use workshold_core::hosted::steward::Command;
use workshold_core::hosted::steward::OrderReply;
use workshold_core::hosted::store_era::Fence;
use workshold_core::hosted::store_era::LogPosition;
use workshold_core::hosted::store_era::RESTORE_SETTLE_TIME;
use workshold_protocol::Millis;
use workshold_protocol::ids::Incarnation;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ModelName;

use crate::checker::Promise;

use self::copies::Store;
pub use self::engine::Simulated;
use self::office::Office;

/// A rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// Instances obey orders whatever their fence and epoch.
    Fencing,
    /// A head counts as having left as soon as it was told to.
    LeaveAwaited,
    /// Members of a silent head are taken although the list still has it.
    SilentHeadsWait,
    /// A steward begins to count its epochs anew.
    EpochsOnce,
    /// A new holder orders by the list as it has it.
    ListReadAnew,
    /// A new holder does not wait until the last one has noticed.
    LastHolderNotices,
    /// That a life has ended is held against the next one at its id.
    EarlierLivesForgotten,
    /// Words of an earlier life that come late are believed.
    LateWordsDropped,
    /// A number that is given out again after a return from a copy is the same right.
    ErasCount,
    /// What a copy says is taken for what is there now.
    CopiesStandBack,
    /// Who gets the lease after a return from a copy orders as after any other change.
    HoldersWaitAfterReturns,
}

impl Broken {
    /// All of them, each with the promise that breaks with it.
    pub const ALL: &'static [(Self, Promise)] = &[
        (Self::Fencing, Promise::OneGroupEach),
        (Self::LeaveAwaited, Promise::OneGroupEach),
        (Self::SilentHeadsWait, Promise::OneGroupEach),
        (Self::EpochsOnce, Promise::WholeGroups),
        (Self::ListReadAnew, Promise::OneGroupEach),
        (Self::LastHolderNotices, Promise::OneGroupEach),
        (Self::EarlierLivesForgotten, Promise::OneGroupEach),
        (Self::LateWordsDropped, Promise::OneGroupEach),
        (Self::ErasCount, Promise::OneGroupEach),
        (Self::CopiesStandBack, Promise::OneGroupEach),
        (Self::HoldersWaitAfterReturns, Promise::OneGroupEach),
    ];
}

/// What a world came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The promise that did not hold, when, and at which instance.
    pub breach: Option<(Promise, Millis, String)>,
    /// Groups that were opened: a world in which nothing happens proves nothing.
    pub opened: usize,
}

/// How long a world lasts, and how often stewards look.
const LASTS: Millis = Millis(60_000);
const TICK: Millis = Millis(25);
/// The worlds begin here, so that spans before the start do not meet zero.
const BEGIN: Millis = Millis(100_000);
/// A lease's time: a holder that hears nothing stops by itself.
pub const LEASE_TTL: Millis = Millis(1_500);
/// How long one model is asked for more than the other.
const ASKED_FOR: Millis = Millis(7_000);
/// Until a statement stands in the list.
const LIST_LAG: Millis = Millis(60);
/// How often an instance checks in.
const CHECK_IN: Millis = Millis(1_200);
/// Three silent check-ins.
const LAPSE: Millis = Millis(4_000);
/// Part of the orders that are carried out late, and when.
const LATE_PART: f64 = 0.3;
const LATE_FROM: u64 = 2_000;
const LATE_TO: u64 = 12_000;
const INSTANCES: usize = 9;
/// Part of the nodes that hold the lease after a return from a copy and have just started.
const NEW_HOLDERS: f64 = 0.5;

/// An order on its way.
#[derive(Debug, Clone)]
struct OnItsWay {
    arrives: Millis,
    command: Command,
    /// Who hears the answer, if anybody does.
    asker: Option<usize>,
}

/// Makes the platform's engines for two models, one of three and one of two.
pub fn engine() -> Engine {
    let model = |name: &str, size, share| ModelSpec {
        name: ModelName::new(name).expect("a plain name"),
        size,
        share,
        pace: 1.0,
        load: Millis(3_000),
        warm_load: Millis(400),
    };
    Engine {
        slots: 8,
        stride: 5,
        step_ms: 8.0,
        per_request_ms: 0.2,
        context_ms_per_k: 0.01,
        prefill_tokens_per_ms: 46.0,
        attention_ms_per_m_pairs: 0.5,
        group_open_time: Millis(300),
        typical_prompt_tokens: 1_000.0,
        typical_answer_tokens: 100.0,
        loads_per_s: 5.0,
        loads_at_once: 7,
        models: vec![model("big", 3, 0.5), model("small", 2, 0.5)],
    }
}

/// What groups of both models are worth when more is asked than can be served, when much
/// is asked of the first, and when much is asked of the second.
fn models(engine: &Engine) -> [Vec<planner::Model>; 3] {
    let ask = |requests: f64| Workload {
        requests,
        prompt_tokens: requests * 1_000.0,
        events: requests * 20.0,
        pause_goal: Millis(250),
    };
    [[200.0, 200.0], [25.0, 5.0], [5.0, 25.0]].map(|asked| {
        let utilities = Utility::of_all(engine, &asked.map(ask), |_| INSTANCES);
        let model = |(spec, utility): (&ModelSpec, Utility)| planner::Model {
            size: spec.size,
            utility_low: utility.clone(),
            utility_high: utility.clone(),
            utility,
            groups: 0.0,
            drain_time: Millis(500),
            load: spec.load,
        };
        engine.models.iter().zip(utilities).map(model).collect()
    })
}

/// What is asked of a world's stewards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Nothing yet: each domain is formed by one plan.
    BeforeTraffic,
    /// More than can be served: whoever is free is formed into something at once, and
    /// has the weights for it near by.
    Short,
    /// Now more of one model and then of the other: groups are closed for it.
    Swings,
}

impl Mode {
    fn of(seed: u64) -> Self {
        match seed % 3 {
            0 => Self::BeforeTraffic,
            1 => Self::Short,
            _ => Self::Swings,
        }
    }
}

/// A world drawn from a seed.
pub struct HostedWorld {
    now: Millis,
    rng: ChaCha8Rng,
    broken: Option<Broken>,
    engine: Engine,
    models: [Vec<planner::Model>; 3],
    mode: Mode,
    has_new_lives: bool,
    /// Whether its store comes back from copies.
    has_copies: bool,
    instances: BTreeMap<InstanceId, Simulated>,
    roster: Roster,
    trust: ListTrust,
    statements: Vec<(Millis, u64, InstanceId)>,
    /// What earlier lives wrote, and when it comes.
    late_words: Vec<(Millis, Instance)>,
    /// Whose newest record is not its own, and since when.
    overwritten: BTreeMap<InstanceId, Millis>,
    /// Who was ever ready, by formation, and in which of its lives.
    was_ready: BTreeMap<(InstanceId, u64), u64>,
    store: Store,
    /// When the store last came back from a copy.
    returned_at: Millis,
    orders: Vec<OnItsWay>,
    offices: Vec<Office>,
    holder: usize,
    outcome: Outcome,
}

impl HostedWorld {
    /// The world of `seed`, with one rule broken if one is given.
    pub fn new(seed: u64, broken: Option<Broken>) -> Self {
        let mut world = Self {
            now: BEGIN,
            rng: ChaCha8Rng::seed_from_u64(seed),
            broken,
            models: models(&engine()),
            engine: engine(),
            mode: Mode::of(seed),
            has_new_lives: false,
            has_copies: false,
            instances: BTreeMap::new(),
            roster: Roster::default(),
            trust: ListTrust::default(),
            statements: Vec::new(),
            late_words: Vec::new(),
            overwritten: BTreeMap::new(),
            was_ready: BTreeMap::new(),
            store: Store::default(),
            returned_at: Millis::ZERO,
            orders: Vec::new(),
            offices: (0..2).map(|_| Office::new(broken)).collect(),
            holder: 0,
            outcome: Outcome { breach: None, opened: 0 },
        };
        (0..INSTANCES).for_each(|i| world.add_instance(&format!("i-{i}")));
        let fence = world.store.hand_over(0);
        world.offices[0].take(fence, BEGIN);
        world
    }

    /// The same with a store that comes back from copies.
    pub fn with_copies(seed: u64, broken: Option<Broken>) -> Self {
        Self { has_copies: true, ..Self::new(seed, broken) }
    }

    /// The same with instances that start again under their ids.
    pub fn with_new_lives(seed: u64, broken: Option<Broken>) -> Self {
        Self { has_new_lives: true, ..Self::new(seed, broken) }
    }

    /// Plays it to its end or its first breach.
    pub fn run(mut self) -> Outcome {
        while self.now < BEGIN + LASTS && self.outcome.breach.is_none() {
            self.now = self.now + TICK;
            self.trouble();
            self.deliver_orders();
            self.advance_instances();
            self.publish();
            self.store.copy(self.now);
            self.steward();
        }
        self.outcome
    }

    fn add_instance(&mut self, name: &str) {
        let id = InstanceId::new(name).expect("a plain name");
        let names = self.engine.models.iter().map(|spec| spec.name.clone());
        let near_by = if self.mode == Mode::Short { names.collect() } else { Vec::new() };
        self.instances.insert(id.clone(), Simulated::new(id.clone(), near_by));
        self.state(&id);
    }

    /// An instance states how it is.
    fn state(&mut self, id: &InstanceId) {
        let place = self.store.next_place();
        self.statements.push((self.now + LIST_LAG, place.offset, id.clone()));
    }

    fn trouble(&mut self) {
        let chance = self.rng.random::<f64>();
        let ids: Vec<InstanceId> = self.instances.keys().cloned().collect();
        let id = ids[self.rng.random_range(0..ids.len())].clone();
        let now = self.now;
        if chance < 0.004 {
            self.lose(&id);
        } else if chance < 0.007 {
            let until = now + Millis(self.rng.random_range(1_000..8_000));
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.cut_since = now;
                instance.cut_until = until;
            }
        } else if chance < 0.010 {
            self.hand_over();
        } else if chance < 0.013 {
            let until = now + Millis(self.rng.random_range(500..4_000));
            let frozen = self.holder;
            self.offices[frozen].frozen_until = until;
        } else if chance < 0.016 {
            let holder = self.holder;
            self.offices[holder].restart();
        } else if chance < 0.022 {
            // Of its list, a node hears nothing for a while.
            let reader = self.rng.random_range(0..self.offices.len());
            let until = now + Millis(self.rng.random_range(300..3_000));
            self.offices[reader].reads_from(until);
        } else if chance < 0.030 && self.has_new_lives {
            self.begin_anew(&id);
        } else if (0.030..0.034).contains(&chance) && self.has_copies {
            self.return_from_copy();
        }
    }

    /// The store comes back from a copy. Instances that live write again what it lost, at
    /// their next check-in; whoever holds the lease by the copy, or gets it then, may be
    /// another node than the last one, which notices within its time.
    fn return_from_copy(&mut self) {
        let now = self.now;
        let age = Millis(self.rng.random_range(300..6_000));
        self.store.return_from_copy(age, now);
        self.returned_at = now;
        self.statements.clear();
        self.late_words.clear();
        self.overwritten.clear();
        self.show_copy();
        let ids: Vec<InstanceId> = self.instances.keys().cloned().collect();
        for id in ids {
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let copied = self.store.kept.records.get(&id).map(|(_, word)| word);
            instance.has_lapsed = copied.is_none();
            let is_written = copied == Some(&instance.word());
            if instance.is_alive && !is_written {
                let wait = Millis(self.rng.random_range(0..CHECK_IN.0));
                let place = self.store.next_place();
                self.statements.push((now + wait + LIST_LAG, place.offset, id));
            }
        }
        self.holder = self.store.kept.holder;
        let next = self.rng.random_range(0..self.offices.len());
        self.hand_over_to(next);
        if self.rng.random_bool(NEW_HOLDERS) {
            self.offices[next].starts_anew(now + RESTORE_SETTLE_TIME);
        }
    }

    /// The list as it is read after a return.
    fn show_copy(&mut self) {
        let now = self.now;
        let era = self.store.era;
        let is_believed = self.broken == Some(Broken::CopiesStandBack);
        self.roster.begin_era(era, now + RESTORE_SETTLE_TIME);
        for (id, (offset, word)) in &self.store.kept.records {
            let place = LogPosition { era, offset: *offset };
            if is_believed {
                self.roster.apply(place, id, Some(word.clone()), now);
            } else {
                self.roster.apply_restored(place, id, word.clone(), now);
            }
        }
    }

    /// Silent for good; another life comes up elsewhere.
    fn lose(&mut self, id: &InstanceId) {
        let Some(instance) = self.instances.get_mut(id).filter(|instance| instance.is_alive) else {
            return;
        };
        instance.is_alive = false;
        instance.died_at = self.now;
        let name = format!("{}x", id.as_str());
        self.add_instance(&name);
    }

    /// It starts again under its id, soon or once it has long been silent; what its last
    /// life wrote may come only then.
    fn begin_anew(&mut self, id: &InstanceId) {
        let Some(instance) = self.instances.get_mut(id).filter(|instance| instance.is_alive) else {
            return;
        };
        let last = instance.word();
        // A clock may go back between two lives, or stand.
        let began = match self.rng.random_range(0..10) {
            0 => self.rng.random_range(1..=instance.incarnation.0),
            _ => instance.incarnation.0 + self.rng.random_range(1..1_000),
        };
        instance.begin_anew(Incarnation(began), self.now);
        // Its memory is empty: what it was sent went with it.
        self.orders.retain(|order| order.command.to.id != *id);
        let late = Millis(self.rng.random_range(20..3_000));
        // Nobody can tell two lives of the same millisecond apart: there, only what both
        // wrote in order is believed rightly.
        let is_late = began != last.identity.incarnation.0 && self.rng.random_bool(LATE_PART);
        self.state(id);
        if is_late {
            self.late_words.push((self.now + late, last));
        }
    }

    /// The lease passes on; the last holder may not have noticed.
    fn hand_over(&mut self) {
        self.hand_over_to(1 - self.holder);
    }

    fn hand_over_to(&mut self, holder: usize) {
        self.holder = holder;
        let fence = self.store.hand_over(holder);
        let true_from = self.returned_at + RESTORE_SETTLE_TIME;
        let is_young = self.has_copies && self.now < true_from;
        let waits_until = if is_young { true_from } else { Millis::ZERO };
        self.offices[holder].take_later(fence, waits_until, self.now);
        let notices = self.now + Millis(self.rng.random_range(0..LEASE_TTL.0));
        for last in (0..self.offices.len()).filter(|last| *last != holder) {
            self.offices[last].loses_by(notices);
        }
    }

    fn deliver_orders(&mut self) {
        let now = self.now;
        let due: Vec<OnItsWay> = self.orders.extract_if(.., |order| order.arrives <= now).collect();
        for order in due {
            let reply = self.carry_out(&order.command);
            if let Some(asker) = order.asker {
                self.offices[asker].hear(&order.command, reply);
            }
        }
    }

    fn carry_out(&mut self, command: &Command) -> OrderReply {
        let ignores = self.broken == Some(Broken::Fencing);
        let id = &command.to.id;
        let Some(instance) = self.instances.get_mut(id) else {
            return OrderReply::Unknown;
        };
        if !instance.is_alive {
            return OrderReply::Unknown;
        }
        let before = instance.membership.clone();
        let reply = instance.obey(command, self.now, ignores);
        let after = instance.membership.clone();
        let is_moved = before.as_ref().map(|own| own.epoch) != after.as_ref().map(|own| own.epoch);
        if is_moved && after.is_some() {
            self.check_taken(id, before);
        }
        self.state(id);
        reply
    }

    /// No instance is taken out of a group whose head serves.
    fn check_taken(&mut self, id: &InstanceId, before: Option<engine::Member>) {
        let Some(own) = before else { return };
        let head = &own.members[0].id;
        let was_serving = if head == id {
            own.serves
        } else {
            self.instances.get(head).is_some_and(|head| head.serves(own.epoch))
        };
        if was_serving {
            self.breach(Promise::OneGroupEach, id);
        }
    }

    fn advance_instances(&mut self) {
        let ids: Vec<InstanceId> = self.instances.keys().cloned().collect();
        for id in ids {
            let now = self.now;
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let change = instance.advance(now);
            if change == engine::Change::Opened {
                self.outcome.opened += 1;
                self.check_whole(&id);
            }
            if change == engine::Change::Ready {
                self.note_ready(&id);
            }
            if change != engine::Change::None {
                self.state(&id);
            }
        }
    }

    /// A group that begins to serve is whole: each member is ready in it, or was
    /// before it was lost.
    fn check_whole(&mut self, head: &InstanceId) {
        let Some(own) = self.instances.get(head).and_then(|head| head.membership.clone()) else {
            return;
        };
        let is_whole = own.members.iter().all(|identity| {
            let Some(member) = self.instances.get(&identity.id) else { return false };
            let is_in = member.membership.as_ref().is_some_and(|m| m.epoch == own.epoch);
            let ready_life = self.was_ready.get(&(identity.id.clone(), own.epoch));
            let has_ended = ready_life.is_some_and(|life| !member.is_alive || *life != member.life);
            (member.is_alive && is_in) || has_ended
        });
        if !is_whole {
            self.breach(Promise::WholeGroups, head);
        }
    }

    fn note_ready(&mut self, id: &InstanceId) {
        let Some(instance) = self.instances.get(id) else { return };
        if let Some(own) = &instance.membership {
            self.was_ready.insert((id.clone(), own.epoch), instance.life);
        }
    }

    fn breach(&mut self, promise: Promise, id: &InstanceId) {
        if self.outcome.breach.is_none() {
            self.outcome.breach = Some((promise, self.now, id.as_str().to_owned()));
        }
    }

    fn publish(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.statements.extract_if(.., |row| row.0 <= now).collect();
        for (_, offset, id) in due {
            let word = self.instances.get(&id).filter(|i| i.is_alive).map(Simulated::word);
            if let Some(word) = word {
                self.write(offset, &id, Some(word));
            }
        }
        self.publish_late_words();
        self.check_in();
        let lapsed: Vec<InstanceId> = self
            .instances
            .values()
            .filter(|i| !i.is_alive && !i.has_lapsed)
            .filter(|i| now.since(i.died_at.max(self.returned_at)) >= LAPSE)
            .map(|i| i.id.clone())
            .collect();
        for id in lapsed {
            let place = self.store.next_place();
            self.write(place.offset, &id, None);
            if let Some(instance) = self.instances.get_mut(&id) {
                instance.has_lapsed = true;
            }
        }
        self.roster.forget(now);
    }

    /// A record stands in the list.
    fn write(&mut self, offset: u64, id: &InstanceId, word: Option<Instance>) {
        self.store.write(offset, id, word.as_ref());
        let place = LogPosition { era: self.store.era, offset };
        self.roster.apply(place, id, word, self.now);
    }

    /// What earlier lives wrote takes the place of the newest record.
    fn publish_late_words(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late_words.extract_if(.., |row| row.0 <= now).collect();
        for (_, mut word) in due {
            let place = self.store.next_place();
            self.overwritten.insert(word.identity.id.clone(), now);
            if self.broken == Some(Broken::LateWordsDropped) {
                // As if nobody could tell which life it speaks of.
                let known = self.roster.get(&word.identity.id);
                word.identity =
                    known.map_or(word.identity, |known| known.instance.identity.clone());
            }
            let id = word.identity.id.clone();
            self.write(place.offset, &id, Some(word));
        }
    }

    /// An instance checks in, and finds that another record than its own is the newest.
    fn check_in(&mut self) {
        let now = self.now;
        let overwritten = std::mem::take(&mut self.overwritten);
        for (id, at) in overwritten {
            if now.since(at) < CHECK_IN {
                self.overwritten.insert(id, at);
            } else {
                self.state(&id);
            }
        }
    }

    /// Each node hears by what number the others act.
    fn gossip(&mut self) {
        let acts_by: Vec<Option<Fence>> = self.offices.iter().map(Office::acts_by).collect();
        for (i, office) in self.offices.iter_mut().enumerate() {
            let others = acts_by.iter().enumerate().filter(|(j, _)| *j != i);
            let others: Vec<Fence> = others.filter_map(|(_, acts_by)| *acts_by).collect();
            office.hear_others(&others, self.now);
        }
    }

    /// What is asked now: a place among the models' worths.
    fn asked(&self) -> usize {
        let turn = (self.now.0 / ASKED_FOR.0 % 2) as usize;
        if self.mode == Mode::Swings { 1 + turn } else { 0 }
    }

    fn steward(&mut self) {
        self.gossip();
        let view = Arc::new(office::View {
            engine: &self.engine,
            roster: &self.roster,
            trust: &self.trust,
            listed: &self.store.kept.records,
            instances: &self.instances,
            models: &self.models[self.asked()],
            mode: self.mode,
            broken: self.broken,
            now: self.now,
        });
        let mut given = Vec::new();
        for (i, office) in self.offices.iter_mut().enumerate() {
            let commands = office.plan(&view);
            given.extend(commands.into_iter().map(|command| (i, command)));
        }
        for (asker, command) in given {
            self.send(asker, command);
        }
    }

    fn send(&mut self, asker: usize, command: Command) {
        let is_cut = self.instances.get(&command.to.id).is_none_or(|i| i.cut_until > self.now);
        if is_cut {
            return;
        }
        let is_late = self.rng.random_bool(LATE_PART);
        let wait = if is_late { self.rng.random_range(LATE_FROM..LATE_TO) } else { 3 };
        let asker = (!is_late).then_some(asker);
        self.orders.push(OnItsWay { arrives: self.now + Millis(wait), command, asker });
    }
}
