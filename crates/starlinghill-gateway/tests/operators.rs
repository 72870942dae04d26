//! What operators do with a gateway: its HTTP port for operators, taking backends out of service, replacing a
//! process under load, and reloading the configuration.

use starlinghill_testkit::stubs::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The gateway program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_starlinghill");

/// Makes a folder for the processes of one gateway to share.
fn folder() -> PathBuf {
    let folder = file("{}").with_extension("shared");
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// The gateway program with an operators' port and a shared folder.
fn with_operator_port(path: &std::path::Path, folder: &std::path::Path) -> Command {
    let mut command = program_with_file(PROGRAM, path);
    command.env("NODE_OPS", "127.0.0.1:0").env("TMPDIR", folder).env("NODE_NAME", "n0");
    command
}

/// The same, with this socket inherited as descriptor 3.
fn inheriting(path: &std::path::Path, folder: &std::path::Path, socket: &TcpListener) -> Command {
    let inner = with_operator_port(path, folder);
    let mut command = Command::new("sh");
    command.args(["-c", "exec 3<&0 </dev/null; exec \"$0\"", PROGRAM]);
    inner.get_envs().for_each(|(name, value)| match value {
        Some(value) => drop(command.env(name, value)),
        None => drop(command.env_remove(name)),
    });
    let socket: std::os::fd::OwnedFd = socket.try_clone().expect("a socket").into();
    command.env("NODE_ACCEPT_FD", "3").stdin(Stdio::from(socket)).stderr(Stdio::piped());
    command
}

/// Two backends that answer with their ids, and the services that a gateway in front of them needs.
struct Services {
    first: Stub,
    second: Stub,
    discovery: Discovery,
    counter: Stub,
}

impl Services {
    fn new() -> Services {
        let (first, second) =
            (Stub::start(|_| http("200 OK", "s-1")), Stub::start(|_| http("200 OK", "s-2")));
        let both =
            format!("{},{}", member("s-1", first.address, "ready"), member("s-2", second.address, "ready"));
        Services { discovery: Discovery::start(&both), counter: counter(), first, second }
    }
    fn config(&self) -> String {
        config(self.discovery.stub.address, self.counter.address)
    }
    fn node(&self, folder: &std::path::Path) -> Node {
        let node = Node::spawn(with_operator_port(&file(&self.config()), folder));
        node.wait_ready();
        node
    }
}

fn request_with_id(class: &str, id: usize) -> String {
    request(class, 3000).replace("9b1f", &format!("{id:04x}"))
}

/// Sends this many requests and returns the ids of the backends that answered.
fn answers(client: &mut Client, count: usize) -> Vec<String> {
    (0..count).map(|i| client.ask(&request_with_id("look", i)).body).collect()
}

#[test]
fn the_operator_port_reports_readiness_and_rejects_unknown_ids_and_paths() {
    let services = Services::new();
    let mut node = services.node(&folder());
    assert_eq!(node.call("GET", "/status", ""), 200);
    assert_eq!(node.call("POST", "/maintenance/enter", "nobody"), 404);
    assert_eq!(node.call("POST", "/maintenance/exit", "nobody"), 404);
    assert_eq!(node.call("POST", "/maintenance/exit", "s-1"), 200, "it was in service already");
    assert_eq!(node.call("POST", "/maintenance/enter", ""), 400);
    assert_eq!(node.call("POST", "/maintenance/enter", &"x".repeat(5000)), 400);
    assert_eq!(node.call("GET", "/maintenance/enter", "s-1"), 405);
    assert_eq!(node.call("GET", "/elsewhere", ""), 404);
    assert_eq!(answers(&mut node.client(), 1).len(), 1);
    node.signal("TERM");
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn no_backend_can_be_taken_out_before_there_is_a_list() {
    let silent = Stub::start(|_| Reply::Silence);
    let node = Node::spawn(with_operator_port(&file(&config(silent.address, counter().address)), &folder()));
    assert_eq!(node.call("GET", "/status", ""), 503);
    assert_eq!(node.call("POST", "/maintenance/enter", "s-1"), 503);
}

#[test]
fn silent_connections_to_the_operator_port_do_not_block_others() {
    let services = Services::new();
    let node = services.node(&folder());
    let door = node.operators_address.expect("a door");
    let silent: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(door).expect("it listens")).collect();
    let start = Instant::now();
    assert_eq!(node.call("GET", "/status", ""), 200);
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    drop(silent);
}

#[test]
fn a_backend_taken_out_gets_no_requests_whatever_discovery_sends() {
    let services = Services::new();
    let node = services.node(&folder());
    let mut client = node.client();
    assert!(answers(&mut client, 40).contains(&"s-1".to_string()), "s-1 is in use");
    assert_eq!(node.call("POST", "/maintenance/enter", "s-1"), 200);
    assert_eq!(node.call("POST", "/maintenance/enter", "s-1"), 200, "a repeated order has no effect");
    let before = services.first.requests().len();
    assert!(answers(&mut client, 40).iter().all(|backend| backend == "s-2"));
    // Discovery sends the backend as ready, in a list of changes, in a whole list, and as restarted.
    services.discovery.announce(42, false, &member("s-1", services.first.address, "ready"));
    let both = [
        member_since("s-1", services.first.address, "ready", 1),
        member("s-2", services.second.address, "ready"),
    ];
    services.discovery.announce(43, true, &both.join(","));
    assert!(answers(&mut client, 40).iter().all(|backend| backend == "s-2"));
    assert_eq!(services.first.requests().len(), before);
    assert_eq!(node.call("POST", "/maintenance/exit", "s-1"), 200);
    // A backend that returns counts as cold, so its load grows slowly.
    let until = Instant::now() + LIMIT;
    while !answers(&mut client, 5).contains(&"s-1".to_string()) {
        assert!(Instant::now() < until, "s-1 gets no requests again");
    }
}

#[test]
fn an_order_survives_a_kill_and_reaches_other_processes_of_the_gateway() {
    let (services, folder) = (Services::new(), folder());
    let mut old = services.node(&folder);
    assert_eq!(old.call("POST", "/maintenance/enter", "s-1"), 200);
    old.child.kill().expect("killed");
    old.child.wait().expect("ended");
    let (one, other) = (services.node(&folder), services.node(&folder));
    let before = services.first.requests().len();
    for node in [&one, &other] {
        assert!(
            answers(&mut node.client(), 20).iter().all(|backend| backend == "s-2"),
            "s-1 is still out of service"
        );
    }
    assert_eq!(services.first.requests().len(), before);
    // An order given to one process must apply in the other within 1 s.
    assert_eq!(other.call("POST", "/maintenance/exit", "s-1"), 200);
    let until = Instant::now() + LIMIT;
    while !answers(&mut one.client(), 5).contains(&"s-1".to_string()) {
        assert!(Instant::now() < until, "the order given to the other process is not applied");
    }
    assert_eq!(other.call("POST", "/maintenance/enter", "s-2"), 200);
    let ordered_at = Instant::now();
    let mut client = one.client();
    let mut last = None;
    while ordered_at.elapsed() < Duration::from_secs(1) {
        if answers(&mut client, 1) == ["s-2"] {
            last = Some(ordered_at.elapsed());
        }
    }
    assert!(
        last.is_none_or(|last| last < Duration::from_millis(900)),
        "{last:?} after the order was confirmed"
    );
    assert!(answers(&mut client, 20).iter().all(|backend| backend == "s-1"));
}

#[test]
fn with_a_damaged_file_of_orders_new_orders_are_refused_and_old_ones_stay() {
    let (services, folder) = (Services::new(), folder());
    let node = services.node(&folder);
    assert_eq!(node.call("POST", "/maintenance/enter", "s-1"), 200);
    let path = folder.join("starlinghill-n0-orders.json");
    let kept = std::fs::read_to_string(&path).expect("the file exists");
    std::fs::write(&path, &kept[..kept.len() / 2]).expect("written");
    assert_eq!(
        node.call("POST", "/maintenance/enter", "s-2"),
        507,
        "orders of other processes can't be read"
    );
    assert!(
        answers(&mut node.client(), 20).iter().all(|backend| backend == "s-2"),
        "the earlier order stays in force"
    );
    std::fs::write(&path, kept).expect("written");
    assert_eq!(node.call("POST", "/maintenance/exit", "s-1"), 200);
}

#[test]
fn no_request_is_lost_when_a_new_process_takes_over_under_load() {
    let (services, folder) = (Services::new(), folder());
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    let path = file(&services.config());
    let start = || {
        let node = Node::spawn(inheriting(&path, &folder, &socket));
        let until = Instant::now() + LIMIT;
        while node.call("GET", "/status", "") != 200 {
            assert!(Instant::now() < until, "never ready");
        }
        assert_eq!(node.address, address);
        node
    };
    let mut old = start();
    let (stop, next) = (AtomicBool::new(false), AtomicUsize::new(0));
    let (answered, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for kept in 0..8 {
            let (stop, next, answered, refused) = (&stop, &next, &answered, &refused);
            scope.spawn(move || {
                let mut client = Client::connect(address);
                while !stop.load(Relaxed) {
                    let answer = client.answer_to(&request_with_id("look", next.fetch_add(1, Relaxed)));
                    let answer =
                        answer.expect("the process that has the connection answers and announces its close");
                    match answer.status() {
                        200 => answered.fetch_add(1, Relaxed),
                        _ => refused.fetch_add(1, Relaxed),
                    };
                    // Every second client uses each connection once.
                    if answer.header("connection") == Some("close") || kept % 2 == 0 {
                        client = Client::connect(address);
                    }
                }
            });
        }
        for _ in 0..3 {
            let from = answered.load(Relaxed);
            while answered.load(Relaxed) < from + 100 {
                std::thread::sleep(Duration::from_millis(1));
            }
            let new = start();
            old.signal("TERM");
            assert_eq!(old.ended(), Some(0), "the old process exits by itself");
            old = new;
        }
        stop.store(true, Relaxed);
    });
    assert!(answered.load(Relaxed) > 300 && refused.load(Relaxed) == 0, "{answered:?} {refused:?}");
    assert_eq!(answers(&mut Client::connect(address), 1).len(), 1);
}

#[test]
fn a_process_that_ends_answers_open_requests_and_closes_unused_connections() {
    let silent = Stub::start(|_| Reply::Silence);
    let discovery = Discovery::start(&member("s-1", silent.address, "ready"));
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    let path = file(&config(discovery.stub.address, counter().address));
    let mut node = Node::spawn(inheriting(&path, &folder(), &socket));
    node.wait_ready();
    let (mut open, mut idle) = (Client::connect(address), Client::connect(address));
    assert_eq!(idle.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
    // The client would wait for 8 s, but the platform kills the process 3.7 s after SIGTERM.
    open.send(&request("buy", 8000));
    silent.wait_for("the attempt", |log| log.requests.len() == 1);
    node.signal("TERM");
    let ordered_at = Instant::now();
    let answer = open.answer().expect("an answer before the end");
    assert!([429, 502, 503].contains(&answer.status()), "{}", answer.line);
    assert!(idle.answer().is_none(), "closed");
    assert_eq!(node.ended(), Some(0));
    assert!(ordered_at.elapsed() < Duration::from_millis(3700), "{:?}", ordered_at.elapsed());
}

#[test]
fn an_invalid_inherited_descriptor_is_a_start_error() {
    let services = Services::new();
    for (number, expected) in [("3", "descriptor 3"), ("two", "found 'two'"), ("0", "found '0'")] {
        let mut command = with_operator_port(&file(&services.config()), &folder());
        let done = command.env("NODE_ACCEPT_FD", number).stdin(Stdio::null()).output().expect("it runs");
        let stderr = String::from_utf8(done.stderr).expect("text");
        assert_eq!(done.status.code(), Some(1), "{stderr}");
        assert!(stderr.contains("NODE_ACCEPT_FD") && stderr.contains(expected), "{stderr}");
    }
}

#[test]
fn two_processes_of_one_gateway_can_overlap_although_one_holds_the_message_socket() {
    // Only one process can hold the socket for messages: the new one waits until the old one ends.
    let services = Services::new();
    let own = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let other: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let text = services
        .config()
        .replace(
            "\"counter\":\"",
            &format!("\"peer_listen\":\"{own}\",\"peers\":[\"{own}\",\"{other}\"],\"counter\":\""),
        )
        .replace("\"max_attempts\":3", "\"peer_messages\":true,\"max_attempts\":3")
        .replace("\"units_top\":4", "\"units_top\":4,\"peer_in_per_s\":60");
    let (path, folder) = (file(&text), folder());
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let spawn = || {
        let node = Node::spawn(inheriting(&path, &folder, &socket));
        node.wait_ready();
        node
    };
    let mut old = spawn();
    let until = Instant::now() + LIMIT;
    let taken = || std::net::UdpSocket::bind(own).is_err();
    while !taken() {
        assert!(Instant::now() < until, "the first process opens the socket");
    }
    let new = spawn();
    old.signal("TERM");
    assert_eq!(old.ended(), Some(0));
    let until = Instant::now() + LIMIT;
    while !taken() {
        assert!(Instant::now() < until, "the second process opens the socket");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(answers(&mut Client::connect(new.address), 1).len(), 1);
}

#[test]
fn classes_follow_the_configuration_file_at_sighup() {
    let services = Services::new();
    let path = file(&services.config());
    let node = Node::spawn(program_with_file(PROGRAM, &path));
    node.wait_ready();
    let mut client = node.client();
    assert_eq!(client.ask(&request_with_id("stream", 1)).status(), 400, "the class does not exist yet");
    let with = |classes: &str| services.config().replace("\"classes\":[", &format!("\"classes\":[{classes}"));
    let new = r#"{"name":"stream","effect":"side_effect","deadline":5000000,"on_time":1000000},"#;
    std::fs::write(&path, with(new)).expect("written");
    node.signal("HUP");
    let until = Instant::now() + LIMIT;
    let mut next = 10;
    while node.client().ask(&request_with_id("stream", next)).status() != 200 {
        assert!(Instant::now() < until, "the new class is not accepted");
        next += 1;
    }
    assert_eq!(node.client().ask(&request_with_id("look", 2)).status(), 200, "other classes stay");
    // After the class is removed, requests on their way are still accepted, later ones are not.
    std::fs::write(&path, services.config()).expect("written");
    node.signal("HUP");
    let until = Instant::now() + LIMIT;
    while node.client().ask(&request_with_id("stream", next)).status() == 200 {
        assert!(Instant::now() < until, "a removed class is still accepted");
        next += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_lower_attempt_limit_applies_to_requests_after_sighup() {
    let broken = Stub::start(|_| Reply::RawThenClose(String::new()));
    let discovery = Discovery::start(&member("s-1", broken.address, "ready"));
    let counter = counter();
    let text = config(discovery.stub.address, counter.address);
    let path = file(&text);
    let node = Node::spawn(program_with_file(PROGRAM, &path));
    node.wait_ready();
    assert_ne!(node.client().ask(&request_with_id("look", 1)).status(), 200);
    assert!(broken.requests().len() > 1, "further attempts");
    std::fs::write(&path, text.replace("\"max_attempts\":3", "\"max_attempts\":1")).expect("written");
    node.signal("HUP");
    let until = Instant::now() + LIMIT;
    for next in 2.. {
        let before = broken.requests().len();
        assert_ne!(node.client().ask(&request_with_id("look", next)).status(), 200);
        if broken.requests().len() == before + 1 {
            break;
        }
        assert!(Instant::now() < until, "the attempt limit did not change");
    }
}

#[test]
fn a_broken_configuration_file_changes_nothing_at_sighup() {
    let services = Services::new();
    let path = file(&services.config());
    let node = Node::spawn(program_with_file(PROGRAM, &path));
    node.wait_ready();
    let good = services.config();
    // The new class would exist if anything of a broken file took effect.
    let new = r#"{"name":"stream","effect":"side_effect","deadline":5000000,"on_time":1000000},"#;
    let with = good.replace("\"classes\":[", &format!("\"classes\":[{new}"));
    let broken_files = [
        String::new(),
        with[..with.len() - 40].to_string(),
        with.replace("\"deadline\":8000000", "\"deadline\":0"),
        with.replace("\"deadline\":8000000", "\"deadline\":-5"),
        with.replace("\"max_attempts\":3", "\"max_attempts\":0"),
        with.replace("\"max_attempts\":3,", ""),
        with.replace("\"deadline\":8000000,", ""),
        with.replace("\"effect\":\"side_effect\",", ""),
        with.replace("\"units_top\":4", "\"units_bottom\":4"),
        with.replace("\"seed\":\"8c1f30d27a5be964\",", ""),
    ];
    for (number, broken) in broken_files.into_iter().enumerate() {
        assert_ne!(broken, with, "each file is broken");
        std::fs::write(&path, &broken).expect("written");
        node.signal("HUP");
        node.wait_for_log("configuration not usable", number + 1);
        assert_eq!(node.client().ask(&request_with_id("stream", 1)).status(), 400, "{broken}");
        assert_eq!(node.client().ask(&request_with_id("look", 2)).status(), 200);
    }
    std::fs::write(&path, &with).expect("written");
    node.signal("HUP");
    let until = Instant::now() + LIMIT;
    while node.client().ask(&request_with_id("stream", 3)).status() != 200 {
        assert!(Instant::now() < until, "the good file is not applied");
    }
}

/// Guards against a configuration file that ends the process by an overflow of the stack.
#[test]
fn a_configuration_file_that_is_nested_very_deeply_is_refused() {
    let nested = "[".repeat(50_000) + &"]".repeat(50_000);
    let refused = starlinghill_gateway::config::Config::parse(&nested, None, None).map(drop);
    assert!(refused.as_ref().is_err_and(|error| error.to_string().contains("recursion")), "{refused:?}");
}
