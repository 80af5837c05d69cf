//! A runner as a process of its own: an instance of a plain service, or an engine that takes
//! orders. It speaks HTTP/1.1 over plain sockets and reports to the driver on standard output:
//! `ADDR ip:port`, `RUN id`, `DONE id`, `STATE json` (its membership of a group).

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use workshold_platform_standin::groups::Effect;
use workshold_platform_standin::groups::GroupMembership;
use workshold_platform_standin::groups::Phase;

/// Time until a member that was ordered to join is ready: its weights are on its host.
const JOIN_TIME: Duration = Duration::from_millis(300);
/// Time from the order to open until a head serves (`form_ms`).
const FORM_TIME: Duration = Duration::from_millis(300);

/// How a runner answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answers {
    /// After the work, with a length.
    AfterWork(Duration),
    /// Without a length: the head and one half of the body at once, the other half after this
    /// time; the end of the channel ends the body.
    InTwoHalves(Duration),
    /// A stream of so many events, this time apart, without a length.
    Events(u64, Duration),
}

struct Runner {
    id: String,
    is_engine: bool,
    answers: Answers,
    membership: Mutex<GroupMembership>,
    /// Streams under way.
    streams: AtomicUsize,
    /// Rises with each order that cuts off all streams.
    cuts: AtomicUsize,
}

/// How a runner takes new channels.
pub struct NewChannels {
    /// Length of the queue of new channels; the system drops the opening packet of further ones.
    pub queue: u32,
    /// Time that each new channel takes.
    pub time: Duration,
}

impl Default for NewChannels {
    fn default() -> Self {
        Self { queue: 128, time: Duration::ZERO }
    }
}

/// Runs a runner until its process is killed.
pub fn run(id: &str, is_engine: bool, answers: Answers, channels: &NewChannels) {
    let listener = listen(channels.queue).expect("a free port on loopback");
    say(&format!("ADDR {}", listener.local_addr().expect("a bound listener has an address")));
    let runner = Arc::new(Runner {
        id: id.to_owned(),
        is_engine,
        answers,
        membership: Mutex::default(),
        streams: AtomicUsize::new(0),
        cuts: AtomicUsize::new(0),
    });
    for stream in listener.incoming().flatten() {
        std::thread::sleep(channels.time);
        let runner = Arc::clone(&runner);
        std::thread::spawn(move || {
            let _ = serve(&runner, stream);
        });
    }
}

/// A listener on a free port, with a queue of this length.
fn listen(queue: u32) -> std::io::Result<TcpListener> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().build()?;
    let _guard = runtime.enter();
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let listener = socket.listen(queue)?.into_std()?;
    listener.set_nonblocking(false)?;
    Ok(listener)
}

/// Writes a line for the driver.
fn say(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

struct Request {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Request {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(own, _)| own == name).map(|(_, value)| value.as_str())
    }
}

/// Reads one request; `None` at the end of the channel.
fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let (method, path) = (method.to_owned(), path.to_owned());
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut request = Request { method, path, headers, body: Vec::new() };
    let len = request.header("content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    request.body = vec![0; len];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Sends an answer with a length.
fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())
}

/// Serves one channel, one request at a time.
fn serve(runner: &Arc<Runner>, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if request.header("x-expected-instance").is_some_and(|expected| expected != runner.id) {
            let id = format!("X-Instance-Id: {}\r\n", runner.id);
            answer(&mut stream, "421 Misdirected Request", &id, "")?;
            continue;
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => {
                let id = format!("X-Instance-Id: {}\r\n", runner.id);
                answer(&mut stream, "200 OK", &id, "")?;
            }
            ("POST", "/v1/order") => {
                let status = order(runner, &request.body);
                answer(&mut stream, &format!("{status} Order"), "", "")?;
            }
            _ => {
                if !work(runner, &request, &mut stream)? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Carries out an order; returns the status.
fn order(runner: &Arc<Runner>, body: &[u8]) -> u16 {
    let Ok(order) = serde_json::from_slice::<Value>(body) else { return 400 };
    let mut membership = runner.membership.lock().expect("no thread panics");
    let effect = match membership.check_order(&runner.id, &order) {
        Ok(effect) => effect,
        Err(status) => return status,
    };
    match effect {
        Effect::Nothing | Effect::Stage(_) => return 200,
        Effect::Join(next) => {
            runner.cuts.fetch_add(1, Ordering::SeqCst);
            membership.formation = Some(next);
            membership.phase = Some(Phase::Joining);
            later(runner, JOIN_TIME, &membership, Phase::Joining, Phase::Ready);
        }
        Effect::Open => {
            later(runner, FORM_TIME, &membership, Phase::Ready, Phase::Open);
            return 202;
        }
        Effect::Close { is_cut: false } if runner.streams.load(Ordering::SeqCst) > 0 => {
            membership.phase = Some(Phase::Closing);
        }
        Effect::Close { .. } => {
            runner.cuts.fetch_add(1, Ordering::SeqCst);
            membership.phase = Some(Phase::Ready);
        }
        Effect::Leave => {
            runner.cuts.fetch_add(1, Ordering::SeqCst);
            membership.formation = None;
        }
    }
    tell_state(&runner.id, &membership);
    202
}

/// Changes the phase after a time, if the membership is still the same then.
fn later(
    runner: &Arc<Runner>,
    time: Duration,
    membership: &GroupMembership,
    from: Phase,
    to: Phase,
) {
    let (runner, formation) = (Arc::clone(runner), membership.formation.clone());
    std::thread::spawn(move || {
        std::thread::sleep(time);
        let mut membership = runner.membership.lock().expect("no thread panics");
        if membership.formation == formation && membership.phase == Some(from) {
            membership.phase = Some(to);
            tell_state(&runner.id, &membership);
        }
    });
}

/// Counts a stream that has ended; a head that closes is ready again after its last one.
fn end_stream(runner: &Runner) {
    let left = runner.streams.fetch_sub(1, Ordering::SeqCst) - 1;
    let mut membership = runner.membership.lock().expect("no thread panics");
    if left == 0 && membership.phase == Some(Phase::Closing) {
        membership.phase = Some(Phase::Ready);
        tell_state(&runner.id, &membership);
    }
}

fn tell_state(id: &str, membership: &GroupMembership) {
    say(&format!("STATE {}", membership.to_entry(id).unwrap_or(Value::Null)));
}

/// Sends the head of a stream and its events, unless an order cuts them off.
fn send_events(
    runner: &Runner,
    id: &str,
    head: &str,
    events: RangeInclusive<u64>,
    gap: Duration,
    stream: &mut TcpStream,
) -> std::io::Result<()> {
    let cuts = runner.cuts.load(Ordering::SeqCst);
    let count = *events.end();
    stream.write_all(head.as_bytes())?;
    for event in events {
        std::thread::sleep(gap);
        if runner.cuts.load(Ordering::SeqCst) != cuts {
            // Broken off partway through an event, as the pages say.
            stream.write_all(format!("id: {event}\nda").as_bytes())?;
            return Err(std::io::Error::other("an order has cut it off"));
        }
        let event = format!("id: {event}\ndata: {event} of {count} for {id}\n\n");
        stream.write_all(event.as_bytes())?;
    }
    Ok(())
}

/// Runs a request or refuses it. Returns whether the channel stays open.
fn work(runner: &Runner, request: &Request, stream: &mut TcpStream) -> std::io::Result<bool> {
    let Some(id) = request.header("x-request-id") else {
        answer(stream, "400 Bad Request", "X-Not-Executed: 1\r\n", "")?;
        return Ok(true);
    };
    if runner.is_engine {
        let membership = runner.membership.lock().expect("no thread panics").clone();
        match (membership.rank(&runner.id), membership.phase) {
            (Some(0), Some(Phase::Open)) => {}
            (Some(0), _) => {
                answer(stream, "503 Service Unavailable", "X-Not-Executed: 1\r\n", "")?;
                return Ok(true);
            }
            _ => {
                answer(stream, "421 Misdirected Request", "", "")?;
                return Ok(true);
            }
        }
    }
    say(&format!("RUN {id}"));
    let stamp = format!("X-Request-Id: {id}\r\nX-Response-Stamp: {}.{id}\r\n", runner.id);
    let is_open = match runner.answers {
        Answers::AfterWork(time) => {
            std::thread::sleep(time);
            let body = format!("receipt of {id}, complete");
            answer(stream, "200 OK", &stamp, &body)?;
            true
        }
        Answers::InTwoHalves(time) => {
            let head = format!("HTTP/1.1 200 OK\r\n{stamp}Connection: close\r\n\r\n");
            stream.write_all(head.as_bytes())?;
            stream.write_all(format!("receipt of {id}, ").as_bytes())?;
            std::thread::sleep(time);
            stream.write_all(b"complete")?;
            false
        }
        Answers::Events(count, gap) => {
            let last = request.header("last-event-id").and_then(|last| last.parse().ok());
            let head = format!(
                "HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\n\
                 Connection: close\r\n\r\n"
            );
            runner.streams.fetch_add(1, Ordering::SeqCst);
            let sent = send_events(runner, id, &head, last.unwrap_or(0) + 1..=count, gap, stream);
            end_stream(runner);
            sent?;
            false
        }
    };
    say(&format!("DONE {id}"));
    Ok(is_open)
}
