//! Micro-benchmarks of the most frequent decisions, each at several sizes, to show how their cost
//! grows.

#![allow(missing_docs, reason = "`criterion_group!` generates an undocumented function")]

use std::collections::BTreeSet;
use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use workshold_bench::fixtures;
use workshold_core::admission::Arrival;
use workshold_core::admission::FairQueue;
use workshold_core::admission::Priority;
use workshold_core::admission::QueueRules;
use workshold_core::group_readiness::GroupReadinessRules;
use workshold_core::group_readiness::check_group;
use workshold_core::prefix::PrefixChain;
use workshold_core::rendezvous;
use workshold_core::routing::Candidate;
use workshold_core::routing::Router;
use workshold_core::routing::RoutingRules;
use workshold_core::steward;
use workshold_core::steward::StewardTimers;
use workshold_protocol::Millis;
use workshold_protocol::ids::GroupId;
use workshold_protocol::ids::TeamName;
use workshold_protocol::record;
use workshold_protocol::record::Envelope;
use workshold_protocol::record::Fact;
use workshold_protocol::signing::ClusterKey;
use workshold_protocol::signing::TrustedOperators;

fn route(c: &mut Criterion) {
    let mut bench = c.benchmark_group("route");
    for groups in [4_u32, 16, 64, 256] {
        let ids: Vec<_> =
            (0..groups).map(|i| GroupId::new(&format!("group-{i}")).unwrap()).collect();
        let candidates: Vec<_> = ids
            .iter()
            .enumerate()
            .map(|(i, group)| Candidate {
                group,
                reported: i as u32 % 7,
                true_since: Millis(1_000),
                slots: 32,
                worth: 1.0,
                is_remote: false,
                is_ejected: false,
            })
            .collect();
        let chain = PrefixChain::of("model", &"a prompt of some length ".repeat(64));
        let mut router = Router::new(RoutingRules::default());
        for i in 0..64 {
            router.on_sent(&chain, &ids[i % ids.len()], Millis(1_000 + i as u64));
        }
        bench.bench_function(BenchmarkId::from_parameter(groups), |b| {
            b.iter(|| black_box(router.choose(&chain, &candidates)));
        });
    }
}

fn prefix(c: &mut Criterion) {
    let prompt = "a prompt of some length ".repeat(256);
    c.bench_function("prefix chain of 6 KB", |b| {
        b.iter(|| black_box(PrefixChain::of("model", &prompt)));
    });
}

fn queue(c: &mut Criterion) {
    let mut bench = c.benchmark_group("queue push and pop");
    for waiting in [10, 100, 1_000] {
        let teams: Vec<_> = (0..10).map(|i| TeamName::new(&format!("team-{i}")).unwrap()).collect();
        let arrival = |i: usize| Arrival {
            team: &teams[i % teams.len()],
            share: 1.0,
            priority: Priority::Normal,
            start_by: Millis(u64::MAX / 2),
            draw: 0.5,
        };
        let rules = QueueRules { max_waiting: 4_096, ..QueueRules::default() };
        let mut queue = FairQueue::new(rules);
        (0..waiting).for_each(|i| queue.push(&arrival(i), i, Millis(0)).unwrap());
        bench.bench_function(BenchmarkId::from_parameter(waiting), |b| {
            b.iter(|| {
                let _ = queue.push(&arrival(3), 3, Millis(1));
                black_box(queue.pop(Millis(1)))
            });
        });
    }
}

fn replay(c: &mut Criterion) {
    let fixture = fixtures::serving_domain(77, 4, 16);
    let mut bench = c.benchmark_group("fold of a record with intents");
    for intents in [1, 16, 256] {
        let envelopes = fixtures::intent_records(intents, 64);
        bench.bench_function(BenchmarkId::from_parameter(intents), |b| {
            b.iter_batched(
                || fixture.state.clone(),
                |mut state| {
                    for envelope in &envelopes {
                        state.apply(state.next(), envelope).unwrap();
                    }
                    state
                },
                criterion::BatchSize::LargeInput,
            );
        });
    }
    drop(bench);
    let key = ClusterKey::from_text(&ClusterKey::generate_text()).unwrap();
    let text = record::seal_as_node(&fixtures::intent_records(16, 1)[0], &key);
    let operators = TrustedOperators::default();
    c.bench_function("open a record with 16 intents", |b| {
        b.iter(|| black_box(record::open(&text, &key, &operators)));
    });
    let checkpoint = fixture.state.to_checkpoint();
    let envelope = Envelope::new(Millis::ZERO, vec![Fact::Checkpoint(checkpoint)]);
    let len = record::seal_as_node(&envelope, &key).len();
    c.bench_function(&format!("write a checkpoint of {len} bytes"), |b| {
        b.iter(|| black_box(fixture.state.to_checkpoint()));
    });
}

fn group_planning(c: &mut Criterion) {
    let mut bench = c.benchmark_group("judge all groups");
    for groups in [4, 16, 57] {
        let fixture = fixtures::serving_domain(groups * 16 + 5, groups, 16);
        let rules = GroupReadinessRules { report_ttl: Millis(2_500) };
        let leaving = BTreeSet::new();
        bench.bench_function(BenchmarkId::from_parameter(groups), |b| {
            b.iter(|| {
                let ready = fixture.state.fleet.groups().filter(|group| {
                    check_group(group, &fixture.observations, &leaving, fixture.now, rules).is_ok()
                });
                black_box(ready.count())
            });
        });
    }
    drop(bench);
    let mut bench = c.benchmark_group("plan a domain");
    for groups in [1, 4, 16] {
        let fixture = fixtures::serving_domain(groups * 16 + 5, groups, 16);
        let mut timers = StewardTimers::default();
        bench.bench_function(BenchmarkId::from_parameter(groups * 16 + 5), |b| {
            b.iter(|| black_box(steward::plan(&fixture.view(), &mut timers, &fixture.rules)));
        });
    }
}

fn rank(c: &mut Criterion) {
    let mut bench = c.benchmark_group("rank nodes for a key");
    for nodes in [3, 30, 350] {
        let names: Vec<_> = (0..nodes).map(|i| format!("node-{i}")).collect();
        bench.bench_function(BenchmarkId::from_parameter(nodes), |b| {
            b.iter(|| {
                let ranked = rendezvous::ranked(b"key", names.iter(), |name| name.as_bytes());
                black_box(ranked.len())
            });
        });
    }
}

criterion_group!(hot_paths, route, prefix, queue, replay, group_planning, rank);
criterion_main!(hot_paths);
