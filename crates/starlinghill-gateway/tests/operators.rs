//! The gateway in the hands of staff: the door, backends taken out, new versions under load, new settings.

use starlinghill_testkit::stubs::*;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::time::{Duration, Instant};

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_starlinghill");

/// A folder of its own that the processes of one gateway share.
fn folder() -> PathBuf {
    let folder = file("{}").with_extension("shared");
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// The program with a door, and a folder that it shares.
fn with_door(path: &std::path::Path, folder: &std::path::Path) -> Command {
    let mut command = told_by(PROGRAM, path);
    command.env("NODE_OPS", "127.0.0.1:0").env("TMPDIR", folder).env("NODE_NAME", "n0");
    command
}

/// The same, inheriting this socket as descriptor 3.
fn inheriting(path: &std::path::Path, folder: &std::path::Path, socket: &TcpListener) -> Command {
    let inner = with_door(path, folder);
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

/// Two backends that say who they are, and what stands round a gateway before them.
struct World {
    first: Stub,
    second: Stub,
    discovery: Discovery,
    counter: Stub,
}

impl World {
    fn new() -> World {
        let (first, second) =
            (Stub::start(|_| http("200 OK", "s-1")), Stub::start(|_| http("200 OK", "s-2")));
        let both =
            format!("{},{}", member("s-1", first.address, "ready"), member("s-2", second.address, "ready"));
        World { discovery: Discovery::start(&both), counter: counter(), first, second }
    }
    fn config(&self) -> String {
        config(self.discovery.stub.address, self.counter.address)
    }
    fn node(&self, folder: &std::path::Path) -> Node {
        let node = Node::spawn(with_door(&file(&self.config()), folder));
        node.wait_ready();
        node
    }
}

fn named(class: &str, name: usize) -> String {
    request(class, 3000).replace("9b1f", &format!("{name:04x}"))
}

/// Who answers so many requests.
fn answers(client: &mut Client, count: usize) -> Vec<String> {
    (0..count).map(|i| client.ask(&named("look", i)).body).collect()
}

#[test]
fn the_door_tells_whether_it_serves_and_what_it_does_not_know() {
    let world = World::new();
    let mut node = world.node(&folder());
    assert_eq!(node.call("GET", "/status", ""), 200);
    assert_eq!(node.call("POST", "/maintenance/enter", "nobody"), 404);
    assert_eq!(node.call("POST", "/maintenance/exit", "nobody"), 404);
    assert_eq!(node.call("POST", "/maintenance/exit", "s-1"), 200, "it was not out");
    assert_eq!(node.call("POST", "/maintenance/enter", ""), 400);
    assert_eq!(node.call("POST", "/maintenance/enter", &"x".repeat(5000)), 400);
    assert_eq!(node.call("GET", "/maintenance/enter", "s-1"), 405);
    assert_eq!(node.call("GET", "/elsewhere", ""), 404);
    assert_eq!(answers(&mut node.client(), 1).len(), 1);
    node.signal("TERM");
    assert_eq!(node.ended(), Some(0));
}

#[test]
fn before_there_is_a_list_nobody_can_be_taken_out() {
    let silent = Stub::start(|_| Reply::Silence);
    let node = Node::spawn(with_door(&file(&config(silent.address, counter().address)), &folder()));
    assert_eq!(node.call("GET", "/status", ""), 503);
    assert_eq!(node.call("POST", "/maintenance/enter", "s-1"), 503);
}

#[test]
fn callers_who_say_nothing_shut_nobody_out() {
    let world = World::new();
    let node = world.node(&folder());
    let door = node.door.expect("a door");
    let silent: Vec<TcpStream> = (0..100).map(|_| TcpStream::connect(door).expect("it listens")).collect();
    let start = Instant::now();
    assert_eq!(node.call("GET", "/status", ""), 200);
    assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
    drop(silent);
}

#[test]
fn one_that_is_out_gets_nothing_whatever_the_list_says() {
    let world = World::new();
    let node = world.node(&folder());
    let mut client = node.client();
    assert!(answers(&mut client, 40).contains(&"s-1".to_string()), "it is in use");
    assert_eq!(node.call("POST", "/maintenance/enter", "s-1"), 200);
    assert_eq!(node.call("POST", "/maintenance/enter", "s-1"), 200, "twice is once");
    let before = world.first.requests().len();
    assert!(answers(&mut client, 40).iter().all(|who| who == "s-2"));
    // The list tells it as ready, changed and whole, and that it has started anew.
    world.discovery.tell(42, false, &member("s-1", world.first.address, "ready"));
    let both =
        [member_since("s-1", world.first.address, "ready", 1), member("s-2", world.second.address, "ready")];
    world.discovery.tell(43, true, &both.join(","));
    assert!(answers(&mut client, 40).iter().all(|who| who == "s-2"));
    assert_eq!(world.first.requests().len(), before);
    assert_eq!(node.call("POST", "/maintenance/exit", "s-1"), 200);
    // It counts as cold, so it comes back slowly, but it comes back.
    let until = Instant::now() + LIMIT;
    while !answers(&mut client, 5).contains(&"s-1".to_string()) {
        assert!(Instant::now() < until, "it is left unused");
    }
}

#[test]
fn an_order_outlives_a_kill_and_reaches_the_process_beside() {
    let (world, folder) = (World::new(), folder());
    let mut old = world.node(&folder);
    assert_eq!(old.call("POST", "/maintenance/enter", "s-1"), 200);
    old.child.kill().expect("killed");
    old.child.wait().expect("ended");
    let (one, other) = (world.node(&folder), world.node(&folder));
    let before = world.first.requests().len();
    for node in [&one, &other] {
        assert!(answers(&mut node.client(), 20).iter().all(|who| who == "s-2"), "it is still out");
    }
    assert_eq!(world.first.requests().len(), before);
    // What one is ordered holds at the other within the grace of a second.
    assert_eq!(other.call("POST", "/maintenance/exit", "s-1"), 200);
    let until = Instant::now() + LIMIT;
    while !answers(&mut one.client(), 5).contains(&"s-1".to_string()) {
        assert!(Instant::now() < until, "the other's order is not heard");
    }
    assert_eq!(other.call("POST", "/maintenance/enter", "s-2"), 200);
    let told = Instant::now();
    let mut client = one.client();
    let mut last = None;
    while told.elapsed() < Duration::from_secs(1) {
        if answers(&mut client, 1) == ["s-2"] {
            last = Some(told.elapsed());
        }
    }
    assert!(last.is_none_or(|last| last < Duration::from_millis(900)), "{last:?} after the yes");
    assert!(answers(&mut client, 20).iter().all(|who| who == "s-1"));
}

#[test]
fn a_file_of_orders_that_is_none_changes_nothing_and_an_order_is_then_refused() {
    let (world, folder) = (World::new(), folder());
    let node = world.node(&folder);
    assert_eq!(node.call("POST", "/maintenance/enter", "s-1"), 200);
    let path = folder.join("starlinghill-n0-orders.json");
    let kept = std::fs::read_to_string(&path).expect("it is kept");
    std::fs::write(&path, &kept[..kept.len() / 2]).expect("written");
    assert_eq!(node.call("POST", "/maintenance/enter", "s-2"), 507, "what others were ordered is not known");
    assert!(answers(&mut node.client(), 20).iter().all(|who| who == "s-2"), "the order before holds");
    std::fs::write(&path, kept).expect("written");
    assert_eq!(node.call("POST", "/maintenance/exit", "s-1"), 200);
}

#[test]
fn a_new_version_takes_over_under_load_and_no_request_is_lost() {
    let (world, folder) = (World::new(), folder());
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    let path = file(&world.config());
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
                    let answer = client.answer_to(&named("look", next.fetch_add(1, Relaxed)));
                    let answer =
                        answer.expect("whoever has the connection answers and says if it is the last");
                    match answer.status() {
                        200 => answered.fetch_add(1, Relaxed),
                        _ => refused.fetch_add(1, Relaxed),
                    };
                    // Some use each connection once.
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
            assert_eq!(old.ended(), Some(0), "it ends by itself");
            old = new;
        }
        stop.store(true, Relaxed);
    });
    assert!(answered.load(Relaxed) > 300 && refused.load(Relaxed) == 0, "{answered:?} {refused:?}");
    assert_eq!(answers(&mut Client::connect(address), 1).len(), 1);
}

#[test]
fn at_the_end_of_the_old_version_what_is_out_is_answered_and_unused_connections_close() {
    let silent = Stub::start(|_| Reply::Silence);
    let discovery = Discovery::start(&member("s-1", silent.address, "ready"));
    let socket = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    let path = file(&config(discovery.stub.address, counter().address));
    let mut node = Node::spawn(inheriting(&path, &folder(), &socket));
    node.wait_ready();
    let (mut open, mut idle) = (Client::connect(address), Client::connect(address));
    assert_eq!(idle.ask("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n").status(), 200);
    // It would wait for 8 s, but the process is killed 3.7 s after SIGTERM.
    open.send(&request("buy", 8000));
    silent.wait_for("the attempt", |log| log.requests.len() == 1);
    node.signal("TERM");
    let told = Instant::now();
    let answer = open.answer().expect("an answer before the end");
    assert!([429, 502, 503].contains(&answer.status()), "{}", answer.line);
    assert!(idle.answer().is_none(), "closed");
    assert_eq!(node.ended(), Some(0));
    assert!(told.elapsed() < Duration::from_millis(3700), "{:?}", told.elapsed());
}

#[test]
fn what_is_not_a_listening_socket_is_told_in_one_line() {
    let world = World::new();
    for (number, named) in [("3", "descriptor 3"), ("two", "found 'two'"), ("0", "found '0'")] {
        let mut command = with_door(&file(&world.config()), &folder());
        let done = command.env("NODE_ACCEPT_FD", number).stdin(Stdio::null()).output().expect("it runs");
        let told = String::from_utf8(done.stderr).expect("text");
        assert_eq!(done.status.code(), Some(1), "{told}");
        assert!(told.contains("NODE_ACCEPT_FD") && told.contains(named), "{told}");
    }
}

#[test]
fn two_gateways_with_messages_can_run_beside_each_other_for_a_while() {
    // The socket for messages has room for one process: the new one waits, and takes it when the old one ends.
    let world = World::new();
    let own = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let other: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let text = world
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
        assert!(Instant::now() < until, "the first process has it");
    }
    let new = spawn();
    old.signal("TERM");
    assert_eq!(old.ended(), Some(0));
    let until = Instant::now() + LIMIT;
    while !taken() {
        assert!(Instant::now() < until, "the second process takes it over");
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(answers(&mut Client::connect(new.address), 1).len(), 1);
}

#[test]
fn classes_and_attempts_follow_the_file_at_sighup() {
    let world = World::new();
    let path = file(&world.config());
    let node = Node::spawn(told_by(PROGRAM, &path));
    node.wait_ready();
    let mut client = node.client();
    assert_eq!(client.ask(&named("stream", 1)).status(), 400, "no such class yet");
    let with = |classes: &str| world.config().replace("\"classes\":[", &format!("\"classes\":[{classes}"));
    let new = r#"{"name":"stream","effect":"side_effect","deadline":5000000,"on_time":1000000},"#;
    std::fs::write(&path, with(new)).expect("written");
    node.signal("HUP");
    let until = Instant::now() + LIMIT;
    let mut next = 10;
    while node.client().ask(&named("stream", next)).status() != 200 {
        assert!(Instant::now() < until, "the new class is not taken");
        next += 1;
    }
    assert_eq!(node.client().ask(&named("look", 2)).status(), 200, "the others stay");
    // Dropped again: what is on its way is still taken, later ones are not.
    std::fs::write(&path, world.config()).expect("written");
    node.signal("HUP");
    let until = Instant::now() + LIMIT;
    while node.client().ask(&named("stream", next)).status() == 200 {
        assert!(Instant::now() < until, "a dropped class is taken for good");
        next += 1;
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn fewer_attempts_hold_for_what_comes_after_the_sighup() {
    let broken = Stub::start(|_| Reply::RawThenClose(String::new()));
    let discovery = Discovery::start(&member("s-1", broken.address, "ready"));
    let counter = counter();
    let text = config(discovery.stub.address, counter.address);
    let path = file(&text);
    let node = Node::spawn(told_by(PROGRAM, &path));
    node.wait_ready();
    assert_ne!(node.client().ask(&named("look", 1)).status(), 200);
    assert!(broken.requests().len() > 1, "further attempts");
    std::fs::write(&path, text.replace("\"max_attempts\":3", "\"max_attempts\":1")).expect("written");
    node.signal("HUP");
    let until = Instant::now() + LIMIT;
    for next in 2.. {
        let before = broken.requests().len();
        assert_ne!(node.client().ask(&named("look", next)).status(), 200);
        if broken.requests().len() == before + 1 {
            break;
        }
        assert!(Instant::now() < until, "attempts stay as they were");
    }
}

#[test]
fn a_broken_file_changes_nothing() {
    let world = World::new();
    let path = file(&world.config());
    let node = Node::spawn(told_by(PROGRAM, &path));
    node.wait_ready();
    let good = world.config();
    // In each the class would be there, if anything of the file were taken.
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
        assert_ne!(broken, with, "each is broken");
        std::fs::write(&path, &broken).expect("written");
        node.signal("HUP");
        node.wait_for_log("configuration not usable", number + 1);
        assert_eq!(node.client().ask(&named("stream", 1)).status(), 400, "{broken}");
        assert_eq!(node.client().ask(&named("look", 2)).status(), 200);
    }
    std::fs::write(&path, &with).expect("written");
    node.signal("HUP");
    let until = Instant::now() + LIMIT;
    while node.client().ask(&named("stream", 3)).status() != 200 {
        assert!(Instant::now() < until, "the good file is not taken");
    }
}
