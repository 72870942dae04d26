//! Stand-ins for the services around a gateway under test, on loopback sockets: backends, the quota counter, discovery and
//! a client, and the gateway process itself. All waits have a time limit, so that a failing test ends soon.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long helpers wait for an event before they panic.
pub const LIMIT: Duration = Duration::from_secs(10);

/// Runs a future on a new single-threaded runtime.
pub fn on_runtime<T>(work: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(work)
}

/// An HTTP/1.1 request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request or status line.
    pub line: String,
    /// Header names, in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The decoded body.
    pub body: String,
    /// The number of the connection on which a [`Stub`] received it, from 0.
    pub connection: usize,
}

impl Message {
    /// The value of the first header with this name, given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
    /// Reads one message; `None` if the connection ends before its end.
    fn read(from: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if from.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            match line.split_once(": ") {
                _ if line.is_empty() => break,
                Some((name, value)) if !message.line.is_empty() => {
                    message.headers.push((name.to_ascii_lowercase(), value.to_string()))
                }
                _ => message.line = line.to_string(),
            }
        }
        if message.header("transfer-encoding") == Some("chunked") {
            message.body = Message::read_chunks(from)?;
            return Some(message);
        }
        let length = message.header("content-length").map_or(0, |v| v.parse().expect("a length"));
        let mut body = vec![0; length];
        from.read_exact(&mut body).ok()?;
        message.body = String::from_utf8(body).expect("text");
        Some(message)
    }
}

impl Message {
    /// Reads a chunked body; `None` if the connection ends before the last chunk.
    fn read_chunks(from: &mut BufReader<TcpStream>) -> Option<String> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            from.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim_end().split(';').next()?, 16).ok()?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk).ok()?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return String::from_utf8(body).ok();
            }
        }
    }
}

/// How a stub answers a request.
pub enum Reply {
    /// Sends these bytes and keeps the connection open.
    Raw(String),
    /// Sends these bytes and closes the connection.
    RawThenClose(String),
    /// Sends nothing and keeps the connection open.
    Silence,
}

/// A complete response; `status` is the code and the reason, as in `200 OK`.
pub fn http(status: &str, body: &str) -> Reply {
    Reply::Raw(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// What a stub has received so far.
#[derive(Default)]
pub struct Log {
    /// All requests, in order of arrival.
    pub requests: Vec<Message>,
    /// The number of connections accepted.
    pub opened: usize,
    /// The number of accepted connections that have ended, closed by either side.
    pub closed: usize,
}

/// An HTTP server that answers each request by a function of the test.
#[derive(Clone)]
pub struct Stub {
    /// The address that it listens on.
    pub address: SocketAddr,
    log: Arc<(Mutex<Log>, Condvar)>,
}

impl Stub {
    /// Starts a server on a free port. It runs until the test process ends.
    pub fn start(answer: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Stub {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let stub = Stub { address: listener.local_addr().expect("a bound address"), log: Arc::default() };
        let (answer, server) = (Arc::new(answer), stub.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, server) = (answer.clone(), server.clone());
                let mut connection = 0;
                server.update_log(|log| {
                    connection = log.opened;
                    log.opened += 1;
                });
                thread::spawn(move || {
                    server.serve(stream, connection, &*answer);
                    server.update_log(|log| log.closed += 1);
                });
            }
        });
        stub
    }
    fn serve(&self, stream: TcpStream, connection: usize, answer: &dyn Fn(&Message) -> Reply) {
        let mut reader = BufReader::new(stream.try_clone().expect("a socket"));
        let mut stream = stream;
        while let Some(message) = Message::read(&mut reader) {
            let message = Message { connection, ..message };
            self.update_log(|log| log.requests.push(message.clone()));
            match answer(&message) {
                Reply::Raw(text) => drop(stream.write_all(text.as_bytes())),
                Reply::RawThenClose(text) => {
                    drop(stream.write_all(text.as_bytes()));
                    drop(stream.shutdown(Shutdown::Both));
                    return;
                }
                Reply::Silence => {}
            }
        }
    }
    fn update_log(&self, change: impl FnOnce(&mut Log)) {
        change(&mut self.log.0.lock().expect("no thread panicked under the lock"));
        self.log.1.notify_all();
    }
    /// Waits until the log fulfils a condition; `description` names it in the panic message.
    pub fn wait_for(&self, description: &str, wanted: impl Fn(&Log) -> bool) {
        let log = self.log.0.lock().expect("no thread panicked under the lock");
        let (_log, late) = self
            .log
            .1
            .wait_timeout_while(log, LIMIT, |log| !wanted(log))
            .expect("no thread panicked under the lock");
        assert!(!late.timed_out(), "timed out waiting for {description}");
    }
    /// A copy of all requests so far.
    pub fn requests(&self) -> Vec<Message> {
        self.log.0.lock().expect("no thread panicked under the lock").requests.clone()
    }
}

/// A discovery service whose answer a test sets. A watch is answered as soon as the revision differs from the watcher's.
#[derive(Clone)]
pub struct Discovery {
    /// The HTTP server.
    pub stub: Stub,
    /// The present revision and the answer that leads to it.
    current: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Discovery {
    /// Starts the service with these members, as revision 41.
    pub fn start(members: &str) -> Discovery {
        let current = Arc::new((Mutex::new((41, list(41, true, members))), Condvar::new()));
        let shared = current.clone();
        let stub = Stub::start(move |request| {
            let from = request.line.split("from=").nth(1).and_then(|r| r.split(['&', ' ']).next());
            let from: u64 = from.map_or(0, |from| from.parse().expect("a revision"));
            let answer = shared.0.lock().expect("no thread panicked under the lock");
            let (answer, late) = shared
                .1
                .wait_timeout_while(answer, LIMIT, |n| n.0 == from)
                .expect("no thread panicked under the lock");
            if late.timed_out() {
                return Reply::RawThenClose(String::new());
            }
            http("200 OK", &answer.1)
        });
        Discovery { stub, current }
    }
    /// Sets the answer to watches from other revisions than `revision`. The text need not be valid.
    pub fn set_answer(&self, revision: u64, text: &str) {
        *self.current.0.lock().expect("no thread panicked under the lock") = (revision, text.to_string());
        self.current.1.notify_all();
    }
    /// Announces a list or changes and waits until a watch from this revision arrives, so the gateway has applied them.
    pub fn announce(&self, revision: u64, complete: bool, members: &str) {
        self.set_answer(revision, &list(revision, complete, members));
        self.wait_for_watch(revision);
    }
    /// Waits until a watch from this revision has arrived.
    pub fn wait_for_watch(&self, revision: u64) {
        let from = format!("from={revision}&");
        self.stub.wait_for("a watch", |log| log.requests.iter().any(|r| r.line.contains(&from)));
    }
}

/// An answer of discovery. It is the whole list if `complete`, else changes to the previous revision.
pub fn list(revision: u64, complete: bool, members: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}
/// A member in discovery's form that started long ago.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> String {
    member_since(id, address, phase, 0)
}
/// A member in discovery's form, with its start as Unix time in milliseconds.
pub fn member_since(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
    )
}

/// Platform settings for gateways; times are in microseconds. The counter has a long time limit (`count_limit`), so that a
/// busy machine is not taken for a slow counter.
pub const SETTINGS: &str = r#"{"balancers":2,"my_number":0,"tick":4000,"zone":"a","zones":["a","b"],
    "bounds":{"max_attempts":3,"may_cancel":true,"retry_after":true,"max_retry_after":1000000,
        "dial_timeout":250000,"conn_idle":30000000,"second_copies":false},
    "classes":[
        {"name":"look","effect":"pure","deadline":4000000,"on_time":1000000,"credit":1.0},
        {"name":"buy","effect":"token","key_scope":"all","window":8000000,"deadline":8000000,"on_time":2500000},
        {"name":"once","effect":"side_effect","deadline":4000000,"on_time":1000000}],
    "plans":[{"name":"team","per_second":1000.0,"peak_units":1000.0,"price":1.0},
        {"name":"small","per_second":1.0,"peak_units":4.0,"price":1.0}],
    "specifics":{"counter":true,"count_limit":2000000,"units_top":4},
    "rules":{"answer_slack":16000,"cold":14000000,"cold_from":0.17,"fall_multiple":4.0,"tip_after":2000000}}"#;

/// Starts a quota counter that adds up what it gets and answers at once.
pub fn counter() -> Stub {
    Stub::start(counting_answers())
}
/// The answers of a working counter: the total by name, over all calls.
pub fn counting_answers() -> impl Fn(&Message) -> Reply + Send + Sync + 'static {
    let totals = Mutex::new(std::collections::HashMap::new());
    move |request| {
        let name = request.line.split(['/', '?']).nth(3).expect("a name").to_string();
        let add = request.line.split(['=', '&']).nth(1).expect("an amount");
        let mut totals = totals.lock().expect("no thread panicked under the lock");
        let total = totals.entry(name).or_insert(0.0);
        *total += add.parse::<f64>().expect("a number");
        http("200 OK", &total.to_string())
    }
}

/// A running gateway process. Dropping it kills the process.
pub struct Node {
    /// The process.
    pub child: Child,
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The address of its operators' interface, if it has one.
    pub operators_address: Option<SocketAddr>,
    /// The lines that it logged after the one with its address.
    log: Arc<(Mutex<Vec<String>>, Condvar)>,
}

/// A gateway's configuration with these services.
pub fn config(discovery: SocketAddr, counter: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"counter":"{counter}","settings":{SETTINGS}}}"#
    )
}

/// Writes an operators' file for a control service that uses this discovery and serves the proxies with these ids.
/// `plans` are put before those of the settings, as JSON, each followed by a comma; `more` is added at the file's end.
pub fn control_file(discovery: SocketAddr, proxies: &[&str], plans: &str, more: &str) -> PathBuf {
    let platform = config(discovery, discovery).replace("\"plans\":[", &format!("\"plans\":[{plans}"));
    let platform = file(&platform);
    let proxies: String = proxies.iter().map(|id| format!("[[control.proxies]]\nid = \"{id}\"\n")).collect();
    let platform = platform.display();
    file(&format!("[control]\nlisten = \"127.0.0.1:0\"\nplatform = \"{platform}\"\n{proxies}{more}"))
}

/// Writes a new file with this text.
pub fn file(config: &str) -> PathBuf {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    // Beside the test program, so that `cargo clean` removes the files.
    let folder = std::env::current_exe().expect("a program").with_file_name("rig-files");
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, config).expect("written");
    path
}

/// A command that runs the gateway program at `path` with this configuration.
pub fn program(path: &str, config: &str) -> Command {
    program_with_file(path, &file(config))
}

/// Like [`program`], with the configuration in a file.
pub fn program_with_file(path: &str, file: &Path) -> Command {
    let mut command = Command::new(path);
    command.env("NODE_CONFIG", file).env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY");
    command.stderr(Stdio::piped());
    command
}

impl Node {
    /// Starts the process and waits until it has logged the address that it listens on.
    pub fn spawn(mut command: Command) -> Node {
        let child = command.spawn().expect("it starts");
        // Owned from here on, so that it is killed even if its log can't be parsed.
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node = Node { child, address, operators_address: None, log: Arc::default() };
        let mut log = BufReader::new(node.child.stderr.take().expect("piped"));
        let mut output = String::new();
        node.address = loop {
            let mut line = String::new();
            assert!(
                log.read_line(&mut line).expect("text") > 0,
                "the gateway ended before it listened: {output}"
            );
            output.push_str(&line);
            if let Some(address) = line.split("door=").nth(1) {
                node.operators_address = Some(address.trim().parse().expect("an address"));
            }
            if let Some(address) = line.split("address=").nth(1) {
                break address.trim().parse().expect("an address");
            }
        };
        // Reads the log all the time; a full pipe would block the gateway.
        let lines = node.log.clone();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                lines.0.lock().expect("no thread panicked under the lock").push(line);
                lines.1.notify_all();
            }
        });
        node
    }
    /// Waits until at least `lines` logged lines contain this text.
    pub fn wait_for_log(&self, text: &str, lines: usize) {
        let logged = self.log.0.lock().expect("no thread panicked under the lock");
        let few = |log: &mut Vec<String>| log.iter().filter(|line| line.contains(text)).count() < lines;
        let (_log, late) =
            self.log.1.wait_timeout_while(logged, LIMIT, few).expect("no thread panicked under the lock");
        assert!(!late.timed_out(), "timed out waiting for {lines} log lines with '{text}'");
    }
    /// Starts a gateway with these services and waits until it is ready.
    pub fn start(path: &str, discovery: &Discovery, counter: &Stub) -> Node {
        let node = Node::spawn(program(path, &config(discovery.stub.address, counter.address)));
        node.wait_ready();
        node
    }
    /// Waits until its health check answers 200.
    pub fn wait_ready(&self) {
        let until = Instant::now() + LIMIT;
        while self.client().ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status() != 200 {
            assert!(Instant::now() < until, "the gateway did not become ready");
            thread::sleep(Duration::from_millis(5));
        }
    }
    /// Opens a connection to it.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }
    /// Sends a request with body `id` to the operators' interface and returns the status.
    pub fn call(&self, method: &str, path: &str, id: &str) -> u16 {
        let mut client = Client::connect(self.operators_address.expect("an operators' interface"));
        client
            .ask(&format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{id}", id.len()))
            .status()
    }
    /// Sends it a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.expect("kill can be run").success());
    }
    /// Waits until it ends and returns its exit code; `None` if a signal ended it.
    pub fn ended(&mut self) -> Option<i32> {
        let until = Instant::now() + LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            assert!(Instant::now() < until, "the gateway did not end");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client with one connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to this address.
    pub fn connect(at: SocketAddr) -> Client {
        let stream = TcpStream::connect(at).expect("the address accepts connections");
        stream.set_read_timeout(Some(LIMIT)).expect("a socket");
        Client { reader: BufReader::new(stream.try_clone().expect("a socket")), stream }
    }
    /// Sends this text.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the connection is open");
    }
    /// Reads the next response; `None` if the connection ends without one.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }
    /// Sends a request and reads its response; `None` if the connection ends without one.
    pub fn answer_to(&mut self, text: &str) -> Option<Message> {
        self.stream.write_all(text.as_bytes()).ok()?;
        self.answer()
    }
    /// Sends a request and reads its response. Panics if there is none.
    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }
}

/// A request of class `look`, `buy` or `once` for two units, in plan `team`, with this time budget.
pub fn request(class: &str, budget_ms: u32) -> String {
    let method = if class == "look" { "GET" } else { "POST" };
    let key = if class == "buy" { "Idempotency-Key: k-17\r\n" } else { "" };
    let body = if class == "look" { "" } else { "Content-Length: 5\r\n\r\nhello" };
    let end = if class == "look" { "\r\n" } else { "" };
    format!(
        "{method} /api?customer=00000000b4d65521&x=1 HTTP/1.1\r\nHost: origin.svc\r\nX-Call-Id: 9b1f03aa5c7e2d41\r\n\
        X-Call-Class: {class}\r\nX-Plan: team\r\nX-Budget-Ms: {budget_ms}\r\n{key}X-Quota: units=2,spread=2,first=0\r\n{body}{end}"
    )
}
