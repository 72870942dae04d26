//! What stands round a gateway under test, on loopback sockets: backends, the counter, discovery, a client.
//! Every read has a time limit, so that a test that fails does so soon.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest wait for anything.
pub const LIMIT: Duration = Duration::from_secs(10);

/// Runs what is asynchronous in a test of a part.
pub fn on_runtime<T>(work: impl std::future::Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime").block_on(work)
}

/// One HTTP message: its first line, headers in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Its first line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: String,
    /// Which connection of its server it came on, from 0.
    pub connection: usize,
}

impl Message {
    /// The first header of that name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")
    }
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
            message.body = Message::chunks(from)?;
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
    /// A chunked body; `None` where it ends before its last chunk.
    fn chunks(from: &mut BufReader<TcpStream>) -> Option<String> {
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

/// What a stub does with a request.
pub enum Reply {
    /// These bytes, as they stand.
    Raw(String),
    /// These bytes, then the connection's end.
    RawThenClose(String),
    /// Nothing, until the other side closes.
    Silence,
}

/// A whole answer.
pub fn http(status: &str, body: &str) -> Reply {
    Reply::Raw(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
}

/// What a stub has seen, and a way to wait for more.
#[derive(Default)]
pub struct Log {
    /// What came in.
    pub requests: Vec<Message>,
    /// Connections taken.
    pub opened: usize,
    /// Connections that the other side closed.
    pub closed: usize,
}

#[derive(Clone)]
/// A server that answers each request as a test says.
pub struct Stub {
    /// Where it listens.
    pub address: SocketAddr,
    log: Arc<(Mutex<Log>, Condvar)>,
}

impl Stub {
    /// Starts it on a free port.
    pub fn start(answer: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Stub {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let stub = Stub { address: listener.local_addr().expect("bound"), log: Arc::default() };
        let (answer, seen) = (Arc::new(answer), stub.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, seen) = (answer.clone(), seen.clone());
                let mut connection = 0;
                seen.note(|log| {
                    connection = log.opened;
                    log.opened += 1;
                });
                thread::spawn(move || {
                    seen.serve(stream, connection, &*answer);
                    seen.note(|log| log.closed += 1);
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
            self.note(|log| log.requests.push(message.clone()));
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
    fn note(&self, change: impl FnOnce(&mut Log)) {
        change(&mut self.log.0.lock().expect("whole"));
        self.log.1.notify_all();
    }
    /// Waits until what was seen is as wanted.
    pub fn wait_for(&self, what: &str, wanted: impl Fn(&Log) -> bool) {
        let log = self.log.0.lock().expect("whole");
        let (_log, late) = self.log.1.wait_timeout_while(log, LIMIT, |log| !wanted(log)).expect("whole");
        assert!(!late.timed_out(), "waited in vain for {what}");
    }
    /// All requests so far.
    pub fn requests(&self) -> Vec<Message> {
        self.log.0.lock().expect("whole").requests.clone()
    }
}

/// Discovery whose news a test sets: each watch is answered once there is something newer.
#[derive(Clone)]
pub struct Discovery {
    /// The server.
    pub stub: Stub,
    news: Arc<(Mutex<(u64, String)>, Condvar)>,
}

impl Discovery {
    /// Starts it with these members, as revision 41.
    pub fn start(members: &str) -> Discovery {
        let news = Arc::new((Mutex::new((41, list(41, true, members))), Condvar::new()));
        let told = news.clone();
        let stub = Stub::start(move |request| {
            let from = request.line.split("from=").nth(1).and_then(|r| r.split(['&', ' ']).next());
            let from: u64 = from.map_or(0, |from| from.parse().expect("a revision"));
            let news = told.0.lock().expect("whole");
            let (news, late) = told.1.wait_timeout_while(news, LIMIT, |n| n.0 == from).expect("whole");
            if late.timed_out() {
                return Reply::RawThenClose(String::new());
            }
            http("200 OK", &news.1)
        });
        Discovery { stub, news }
    }
    /// Answers the next watch with this text; it leads the watcher to that revision.
    pub fn say(&self, revision: u64, text: &str) {
        *self.news.0.lock().expect("whole") = (revision, text.to_string());
        self.news.1.notify_all();
    }
    /// Tells changes and waits until the gateway watches from there, so has taken them in.
    pub fn tell(&self, revision: u64, complete: bool, members: &str) {
        self.say(revision, &list(revision, complete, members));
        self.wait_for_watch(revision);
    }
    /// Waits until a watch from that revision has come.
    pub fn wait_for_watch(&self, revision: u64) {
        let from = format!("from={revision}&");
        self.stub.wait_for("a watch", |log| log.requests.iter().any(|r| r.line.contains(&from)));
    }
}

/// A list of members in discovery's form.
pub fn list(revision: u64, complete: bool, members: &str) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{members}]}}"#)
}
/// One member in discovery's form, long since started.
pub fn member(id: &str, address: SocketAddr, phase: &str) -> String {
    member_since(id, address, phase, 0)
}
/// One member in discovery's form, with its start in Unix time, in milliseconds.
pub fn member_since(id: &str, address: SocketAddr, phase: &str, up_since_ms: u64) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"a","flavor":"m","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":{up_since_ms}}}"#
    )
}

/// The counter may take long: a slow machine must not look like a slow counter.
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

/// A counter that adds up and answers at once.
pub fn counter() -> Stub {
    Stub::start(counter_that_adds())
}
/// What such a counter answers.
pub fn counter_that_adds() -> impl Fn(&Message) -> Reply + Send + Sync + 'static {
    let totals = Mutex::new(std::collections::HashMap::new());
    move |request| {
        let name = request.line.split(['/', '?']).nth(3).expect("a name").to_string();
        let add = request.line.split(['=', '&']).nth(1).expect("an amount");
        let mut totals = totals.lock().expect("whole");
        let total = totals.entry(name).or_insert(0.0);
        *total += add.parse::<f64>().expect("a number");
        http("200 OK", &total.to_string())
    }
}

/// A running gateway; killed when the test is over.
pub struct Node {
    /// The process.
    pub child: Child,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where operators are heard, if anywhere.
    pub door: Option<SocketAddr>,
    /// What it has logged since.
    log: Arc<(Mutex<Vec<String>>, Condvar)>,
}

/// A configuration round these services.
pub fn config(discovery: SocketAddr, counter: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"counter":"{counter}","settings":{SETTINGS}}}"#
    )
}

/// An operators' file with a control service for these proxies, before this discovery. `plans` go before those of
/// the settings, as JSON, each with a comma behind it; `more` stands at the file's end.
pub fn control_file(discovery: SocketAddr, proxies: &[&str], plans: &str, more: &str) -> PathBuf {
    let platform = config(discovery, discovery).replace("\"plans\":[", &format!("\"plans\":[{plans}"));
    let platform = file(&platform);
    let proxies: String = proxies.iter().map(|id| format!("[[control.proxies]]\nid = \"{id}\"\n")).collect();
    let platform = platform.display();
    file(&format!("[control]\nlisten = \"127.0.0.1:0\"\nplatform = \"{platform}\"\n{proxies}{more}"))
}

/// A file of its own with this configuration.
pub fn file(config: &str) -> PathBuf {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    // Beside the test program, so that `cargo clean` takes them away.
    let folder = std::env::current_exe().expect("a program").with_file_name("rig-files");
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join(name);
    std::fs::write(&path, config).expect("written");
    path
}

/// The program, told to read this configuration.
pub fn program(path: &str, config: &str) -> Command {
    told_by(path, &file(config))
}

/// The program, told to read this file.
pub fn told_by(path: &str, file: &Path) -> Command {
    let mut command = Command::new(path);
    command.env("NODE_CONFIG", file).env_remove("NODE_LISTEN").env_remove("NODE_DISCOVERY");
    command.stderr(Stdio::piped());
    command
}

impl Node {
    /// Starts it and waits until it listens.
    pub fn spawn(mut command: Command) -> Node {
        let child = command.spawn().expect("it starts");
        // From here on it ends with the test, also if what it says is not understood.
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut node = Node { child, address, door: None, log: Arc::default() };
        let mut log = BufReader::new(node.child.stderr.take().expect("piped"));
        let mut told = String::new();
        node.address = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).expect("text") > 0, "it ended before it listened: {told}");
            told.push_str(&line);
            if let Some(door) = line.split("door=").nth(1) {
                node.door = Some(door.trim().parse().expect("an address"));
            }
            if let Some(address) = line.split("address=").nth(1) {
                break address.trim().parse().expect("an address");
            }
        };
        // Its log must not fill the pipe.
        let lines = node.log.clone();
        thread::spawn(move || {
            for line in log.lines().map_while(Result::ok) {
                lines.0.lock().expect("whole").push(line);
                lines.1.notify_all();
            }
        });
        node
    }
    /// Waits until it has logged so many lines with this text.
    pub fn wait_for_log(&self, text: &str, lines: usize) {
        let held = self.log.0.lock().expect("whole");
        let few = |log: &mut Vec<String>| log.iter().filter(|line| line.contains(text)).count() < lines;
        let (_log, late) = self.log.1.wait_timeout_while(held, LIMIT, few).expect("whole");
        assert!(!late.timed_out(), "waited in vain for {lines} lines of the log with '{text}'");
    }
    /// A gateway with these round it, ready.
    pub fn start(path: &str, discovery: &Discovery, counter: &Stub) -> Node {
        let node = Node::spawn(program(path, &config(discovery.stub.address, counter.address)));
        node.wait_ready();
        node
    }
    /// Waits until it is ready.
    pub fn wait_ready(&self) {
        let until = Instant::now() + LIMIT;
        while self.client().ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status() != 200 {
            assert!(Instant::now() < until, "never ready");
            thread::sleep(Duration::from_millis(5));
        }
    }
    /// Connects to it.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }
    /// Calls at the operators' door and returns the status.
    pub fn call(&self, method: &str, path: &str, id: &str) -> u16 {
        let mut client = Client::connect(self.door.expect("it has a door"));
        client
            .ask(&format!("{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {}\r\n\r\n{id}", id.len()))
            .status()
    }
    /// Sends it a signal, such as TERM.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(sent.expect("kill runs").success());
    }
    /// Waits for the end and returns the exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let until = Instant::now() + LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            assert!(Instant::now() < until, "it did not end");
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

/// One connection of a client.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects to a gateway.
    pub fn connect(at: SocketAddr) -> Client {
        let stream = TcpStream::connect(at).expect("it listens");
        stream.set_read_timeout(Some(LIMIT)).expect("a socket");
        Client { reader: BufReader::new(stream.try_clone().expect("a socket")), stream }
    }
    /// Writes this.
    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("it reads");
    }
    /// The next answer; `None` when the connection ends without one.
    pub fn answer(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }
    /// The answer to a request; `None` when the connection ends without one.
    pub fn answer_to(&mut self, text: &str) -> Option<Message> {
        self.stream.write_all(text.as_bytes()).ok()?;
        self.answer()
    }
    /// The answer to a request, which must come.
    pub fn ask(&mut self, text: &str) -> Message {
        self.send(text);
        self.answer().expect("an answer")
    }
}

/// A request of a class, as clients write it.
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
