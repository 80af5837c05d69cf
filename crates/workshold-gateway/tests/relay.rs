//! What ends an answer that is under way, and what does not.
//!
//! Seen: beside planned work alone, streams were closed in the middle of their answers.
//! How: the node's own link was full for a moment, tries to reach members of their
//! groups were not answered in time, and that doubt ended the attempt. One stream had
//! no attempt left, since its first instance had refused it; the other was moved, and
//! ended with the instance that could not take it. Cause: an answer under way was ended
//! by an inference about its upstream, and what was there was given up before its
//! replacement worked. What speaks for it: the first upstream of the second stream was
//! still at work when the caller's connection closed; the same planned work, played with
//! logs, cut streams by just these two ways, and cuts none since. The first and the third
//! case of `an_answer_is_not_ended_by_a_doubt` play them.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use parking_lot::Mutex;
use rstest::rstest;
use smol_str::SmolStr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use workshold_core::hosted::fingerprint::Fingerprint;
use workshold_core::hosted::groups;
use workshold_core::hosted::identity::Identity;
use workshold_core::hosted::roster::Instance;
use workshold_core::hosted::roster::MemberState;
use workshold_core::hosted::roster::Membership;
use workshold_core::hosted::suspicion::ProbeResult;
use workshold_gateway::callers::requests::AdmittedRequest;
use workshold_gateway::callers::responses::ResponseBody;
use workshold_gateway::node::Node;
use workshold_gateway::proxy;
use workshold_gateway::settings;
use workshold_platform::config;
use workshold_platform_standin::caller;
use workshold_platform_standin::deployment;
use workshold_protocol::Millis;
use workshold_protocol::clock::SystemClock;
use workshold_protocol::ids::DataCentre;
use workshold_protocol::ids::InstanceId;
use workshold_protocol::ids::ServiceName;

/// One thing that an upstream does.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// It sends this event.
    Event(u64),
    /// It says nothing for so long, in ms.
    Rest(u64),
    /// It ends the answer as whole.
    End,
    /// It breaks the connection.
    Break,
}

use Step::Break;
use Step::End;
use Step::Event;
use Step::Rest;

/// What the n-th request that arrives anywhere meets.
#[derive(Debug, Clone)]
enum Reply {
    /// The word that it has not run.
    Refuse,
    /// A stream.
    Stream(Vec<Step>),
}

/// Longer than silence that is looked into, and than any silence of these tests: a
/// doubt counts at once behind it.
const LONG: u64 = 450;
/// As long as a stream that is not moved may rest for: under three times its goal.
const SHORT: u64 = 100;

/// Upstreams that answer one after the other as they were told.
#[derive(Debug, Default)]
struct Script {
    replies: Mutex<Vec<Reply>>,
    /// Replies whose asker closed before the end, by their place.
    left: Mutex<Vec<usize>>,
    arrived: Mutex<Vec<SocketAddr>>,
    listeners: Mutex<Vec<(SocketAddr, tokio::task::JoinHandle<()>)>>,
}

impl Script {
    fn next(&self, at: SocketAddr) -> (usize, Option<Reply>) {
        let mut arrived = self.arrived.lock();
        arrived.push(at);
        let place = arrived.len() - 1;
        (place, self.replies.lock().get(place).cloned())
    }
}

async fn upstream(script: Arc<Script>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let of_all = Arc::clone(&script);
    let task = tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, address, Arc::clone(&script)));
        }
    });
    of_all.listeners.lock().push((address, task));
    address
}

async fn serve(mut stream: TcpStream, address: SocketAddr, script: Arc<Script>) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        // A try to connect brings nothing.
        let Ok(byte) = stream.read_u8().await else { return };
        head.push(byte);
    }
    let (place, reply) = script.next(address);
    let steps = match reply {
        None | Some(Reply::Refuse) => {
            let refusal = "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(refusal.as_bytes()).await.unwrap();
            return;
        }
        Some(Reply::Stream(steps)) => steps,
    };
    if !play(&mut stream, &steps).await {
        script.left.lock().push(place);
    }
}

/// Whether the asker stayed for all of it.
async fn play(stream: &mut TcpStream, steps: &[Step]) -> bool {
    let mut head =
        Some("HTTP/1.1 200 OK\r\nx-response-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n");
    for step in steps {
        let text = match *step {
            Break => return true,
            Rest(ms) => {
                // Whoever leaves is noticed at once.
                let mut byte = [0];
                let gone = tokio::time::timeout(Duration::from_millis(ms), stream.read(&mut byte));
                if gone.await.is_ok() {
                    return false;
                }
                continue;
            }
            Event(id) => {
                let event = format!("id: {id}\ndata: x\n\n");
                format!("{:x}\r\n{event}\r\n", event.len())
            }
            End => "0\r\n\r\n".to_owned(),
        };
        let text = head.take().unwrap_or_default().to_owned() + &text;
        if stream.write_all(text.as_bytes()).await.is_err() {
            return false;
        }
    }
    true
}

/// A node without anybody that acts beside requests, before `groups` of two members.
struct Scene {
    node: Arc<Node>,
    script: Arc<Script>,
    members: Vec<Identity>,
}

impl Scene {
    async fn start(groups: usize, replies: Vec<Reply>, slack: f64) -> Self {
        let (doubts, _) = mpsc::unbounded_channel();
        let first = common::SETTINGS.replace("[listen]", "is_first_start = true\n[listen]");
        let text = format!("{first}[bounds]\nrepeat_slack = {slack:.1}\n");
        let settings = settings::parse(&text).unwrap();
        let node = Node::new(settings, Box::new(SystemClock::default()), doubts);
        let script = Arc::new(Script::default());
        *script.replies.lock() = replies;
        let mut members = Vec::new();
        for epoch in 1..=groups {
            for rank in 0..2 {
                let address = upstream(Arc::clone(&script)).await;
                let instance = instance(epoch, rank, address);
                members.push(instance.identity.clone());
                let id = instance.identity.id.clone();
                node.list.lock().roster.apply(1, &id, Some(instance), node.now());
            }
        }
        let text = deployment::config(1, "k1");
        let serving_config = config::decode(text.as_bytes()).unwrap();
        node.install_config(serving_config, Bytes::from(text), node.now());
        Self { node: Arc::new(node), script, members }
    }

    /// Sends a request; its answer begins.
    async fn ask(&self) -> Response<ResponseBody> {
        let serving_config = self.node.serving_config().unwrap();
        let route = Arc::clone(serving_config.route("lot.example", "/chat/x").unwrap());
        let received_at = self.node.now();
        let job = AdmittedRequest {
            id: SmolStr::new("r-1"),
            service: ServiceName::new("llm").unwrap(),
            method: Method::POST,
            path: SmolStr::new("/chat/x"),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            fingerprint: Fingerprint::of(Some("t-1"), "/chat/x", b""),
            caller: 0,
            model: Some(SmolStr::new("m1")),
            prompt_tokens: 100.0,
            last_event_id: None,
            received_at,
            deadline: received_at + Millis(6_000),
            route,
        };
        proxy::run(&self.node, job, self.node.begin_request()).await
    }

    /// From here on no member of any group can be reached, as far as this node sees.
    fn doubt_all(&self) {
        for id in &self.members {
            self.node.record_probe_result(id, ProbeResult::Silent);
        }
    }

    /// The same for those of the group that the last request went to.
    fn doubt_serving(&self) {
        let at = *self.script.arrived.lock().last().unwrap();
        let list = self.node.list.lock();
        let serving = list.roster.iter().find(|entry| entry.instance.address == at.to_string());
        let id = serving.unwrap().instance.identity.clone();
        drop(list);
        self.node.record_probe_result(&id, ProbeResult::Silent);
    }

    /// From here on only the instance that serves takes connections; the list lacks that.
    fn stop_others(&self) {
        let at = *self.script.arrived.lock().last().unwrap();
        let listeners = self.script.listeners.lock();
        listeners.iter().filter(|(own, _)| *own != at).for_each(|(_, task)| task.abort());
    }

    fn arrived(&self) -> usize {
        self.script.arrived.lock().len()
    }
}

fn instance(epoch: usize, rank: usize, address: SocketAddr) -> Instance {
    let state = if rank == 0 { MemberState::Open } else { MemberState::Ready };
    Instance {
        identity: InstanceId::new(&format!("i-{epoch}-{rank}")).unwrap().into(),
        service: ServiceName::new("llm").unwrap(),
        address: SmolStr::new(address.to_string()),
        data_centre: DataCentre::new("a").unwrap(),
        domain: None,
        slots: 17,
        is_leaving: false,
        staged: Vec::new(),
        loaded: Vec::new(),
        membership: Some(Membership {
            group: groups::group_id("m1", epoch as u64),
            epoch: epoch as u64,
            rank,
            state,
        }),
    }
}

/// The events of an answer that ends as whole.
async fn events(res: Response<ResponseBody>) -> Result<Vec<u64>, String> {
    assert_eq!(res.status(), 200);
    let whole = res.into_body().collect().await.map_err(|cut| cut.to_string())?;
    Ok(caller::event_ids(&String::from_utf8_lossy(&whole.to_bytes())))
}

fn rests_and_ends(rest: u64) -> Reply {
    Reply::Stream(vec![Event(1), Rest(rest), Event(2), Event(3), End])
}

const MANY: f64 = 100.0;
const NONE: f64 = 0.0;

#[rstest]
#[case::its_attempts_are_used_up(2, vec![Reply::Refuse, rests_and_ends(LONG)], MANY)]
#[case::the_next_one_refuses(2, vec![rests_and_ends(LONG), Reply::Refuse], MANY)]
#[case::the_next_one_breaks(
    2,
    vec![rests_and_ends(LONG), Reply::Stream(vec![Rest(SHORT), Break])],
    MANY
)]
#[case::there_is_no_other_place(1, vec![rests_and_ends(LONG)], MANY)]
#[case::there_is_no_budget(2, vec![rests_and_ends(LONG)], NONE)]
#[tokio::test]
async fn an_answer_is_not_ended_by_a_doubt(
    #[case] groups: usize,
    #[case] replies: Vec<Reply>,
    #[case] slack: f64,
) {
    let scene = Scene::start(groups, replies, slack).await;
    let res = scene.ask().await;
    scene.doubt_serving();
    assert_eq!(events(res).await, Ok(vec![1, 2, 3]));
}

#[tokio::test]
async fn an_answer_goes_on_where_it_speaks_first() {
    let slow = Reply::Stream(vec![Rest(2_000), Event(2), End]);
    let scene = Scene::start(2, vec![rests_and_ends(LONG), slow], MANY).await;
    let res = scene.ask().await;
    scene.doubt_serving();
    assert_eq!(events(res).await, Ok(vec![1, 2, 3]));
    assert_eq!(scene.arrived(), 2);
    tokio::time::sleep(Duration::from_millis(SHORT)).await;
    assert_eq!(*scene.script.left.lock(), [1], "who was not needed is told");
}

#[tokio::test]
async fn whoever_was_not_needed_has_used_up_an_attempt() {
    let twice = vec![Event(1), Rest(LONG), Event(2), Rest(LONG), Event(3), End];
    let slow = Reply::Stream(vec![Rest(2_000), Event(2), End]);
    let replies = vec![Reply::Stream(twice), slow.clone(), slow];
    let scene = Scene::start(3, replies, MANY).await;
    let mut body = scene.ask().await.into_body();
    // Its events until the second one, before which the next instance was begun.
    for _ in 0..2 {
        scene.doubt_all();
        body.frame().await.unwrap().unwrap();
    }
    scene.doubt_all();
    assert!(body.collect().await.is_ok());
    assert_eq!(scene.arrived(), 2, "a request goes to two instances at most");
}

#[tokio::test]
async fn a_stream_whose_place_is_lost_goes_on_elsewhere_and_leaves_it() {
    let lost = Reply::Stream(vec![Event(1), Rest(4_000), Event(2), End]);
    let next = Reply::Stream(vec![Event(2), Event(3), End]);
    let scene = Scene::start(2, vec![lost, next], MANY).await;
    let res = scene.ask().await;
    scene.doubt_serving();
    assert_eq!(events(res).await, Ok(vec![1, 2, 3]));
    tokio::time::sleep(Duration::from_millis(SHORT)).await;
    assert_eq!(*scene.script.left.lock(), [0], "who is not needed any more is told");
}

#[tokio::test]
async fn a_request_that_waits_for_its_first_event_is_not_ended_by_a_doubt_either() {
    let late = Reply::Stream(vec![Rest(LONG), Event(1), Event(2), End]);
    let scene = Scene::start(1, vec![late], MANY).await;
    scene.doubt_all();
    assert_eq!(events(scene.ask().await).await, Ok(vec![1, 2]));
}

/// An instance that was begun beside another one and ended because that one spoke first
/// has done nothing wrong: it is not kept from others' requests.
#[tokio::test]
async fn whoever_was_not_needed_has_not_failed() {
    let slow = Reply::Stream(vec![Rest(2_000), Event(2), End]);
    let rounds = [rests_and_ends(LONG), slow];
    let scene = Scene::start(4, rounds.iter().cycle().take(4).cloned().collect(), MANY).await;
    let (beside, others) = scene.members.split_at(2);
    for id in &scene.members {
        scene.node.outliers.lock().on_answer(id, Millis(10), scene.node.now());
    }
    let reach = |ids: &[Identity], reach| {
        ids.iter().for_each(|id| {
            scene.node.record_probe_result(id, reach);
        });
    };
    for _ in 0..2 {
        reach(others, ProbeResult::Answers);
        reach(beside, ProbeResult::Silent);
        let res = scene.ask().await;
        reach(others, ProbeResult::Silent);
        reach(beside, ProbeResult::Answers);
        assert_eq!(events(res).await, Ok(vec![1, 2, 3]));
    }
    assert_eq!(scene.arrived(), 4);
    let now = scene.node.now();
    assert!(!scene.node.outliers.lock().is_ejected(&beside[0], now));
}

/// What never left is no repeat at any instance, and takes none of the budget.
#[tokio::test]
async fn a_try_beside_that_never_left_takes_nothing_of_the_budget() {
    let scene = Scene::start(6, vec![rests_and_ends(LONG)], 10.0).await;
    let res = scene.ask().await;
    let service = ServiceName::new("llm").unwrap();
    scene.doubt_serving();
    scene.stop_others();
    assert_eq!(events(res).await, Ok(vec![1, 2, 3]));
    assert_eq!(scene.arrived(), 1, "nothing was repeated");
    let left = std::iter::repeat(()).take_while(|()| scene.node.take_retry(&service)).count();
    assert_eq!(left, 8, "four fifths of the slack");
}
