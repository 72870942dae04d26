//! The program: its commands, its signals, and encryption.

mod common;

use common::{file, nodes};
use starlinghill_control::{prepare, start};
use starlinghill_testkit::proxy::{Proxy, Settings, XdsVariant};
use starlinghill_testkit::stubs::{self, Node};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_starlinghill-control");

fn said(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string() + &String::from_utf8_lossy(&output.stderr)
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("it runs")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn check_says_what_is_wrong_one_line_each_with_file_and_line() {
    let (_nodes, discovery) = nodes(1).await;
    let good = file(&discovery, "[control.quotas]\nplans = [\"team\"]\n");
    let output = run(&["check", good.to_str().expect("text")]);
    assert!(output.status.success(), "{}", said(&output));

    let path = file(&discovery, "[control.quotas]\nplans = [\n  \"team\",\n  \"gold\",\n]\n");
    let output = run(&["check", path.to_str().expect("text")]);
    let line = std::fs::read_to_string(&path)
        .expect("text")
        .lines()
        .position(|l| l.contains("gold"))
        .expect("there");
    let wanted = format!(
        "{}:{}: control.quotas.plans: expected plans of the platform (small, team), found 'gold'\n",
        path.display(),
        line + 1
    );
    assert_eq!((output.status.code(), said(&output)), (Some(1), wanted));

    let path = file(&discovery, "[control.quotas]\nlease = 7\n");
    let output = run(&["check", path.to_str().expect("text")]);
    assert!(
        said(&output).starts_with(&format!("{}:", path.display())) && said(&output).contains("lease"),
        "{}",
        said(&output)
    );
    assert_eq!(said(&output).lines().count(), 1);
    assert_eq!(run(&["check", "/no/such/file"]).status.code(), Some(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dump_prints_what_a_node_would_get() {
    let (nodes, discovery) = nodes(2).await;
    let path = file(&discovery, "");
    let path = path.to_str().expect("text");
    let output = run(&["dump", path, "--node", "whole"]);
    let all: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(all["endpoints"][0]["id"], "s-0");
    assert_eq!(all["endpoints"][1]["address"], nodes[1].address.to_string());
    assert_eq!(all["endpoints"][1]["use"], "healthy");
    assert_eq!(all["routes"].as_array().map(Vec::len), Some(3));
    let again = run(&["dump", path, "--node", "whole"]);
    assert_eq!(output.stdout, again.stdout, "the same from every process, versions too");
    let stranger = run(&["dump", path, "--node", "nobody"]);
    assert!(said(&stranger).contains("expected 'nobody' among the ids"), "{}", said(&stranger));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sighup_reads_the_file_again_and_sigterm_takes_nothing_from_proxies() {
    let (_nodes, discovery) = nodes(2).await;
    let path = file(&discovery, "");
    let mut command = Command::new(PROGRAM);
    command.args(["run", path.to_str().expect("text")]).stderr(std::process::Stdio::piped());
    let mut program = tokio::task::block_in_place(|| Node::spawn(command));
    let p = Proxy::start(Settings::new(program.address, "whole", XdsVariant::Incremental));
    let late = Proxy::start(Settings::new(program.address, "late", XdsVariant::StateOfTheWorld));
    p.wait_for("both", |m| m.targets.len() == 2).await;
    late.wait_for("its refusal", |m| !m.stream_errors.is_empty()).await;
    let text = std::fs::read_to_string(&path).expect("text");
    // First one that can't be used: what was read before stays.
    std::fs::write(&path, "[control").expect("written");
    program.signal("HUP");
    std::fs::write(&path, text.replace("\"third\"", "\"late\"")).expect("written");
    program.signal("HUP");
    late.wait_for("its turn", |m| m.targets.len() == 2).await;
    program.signal("TERM");
    assert_eq!(tokio::task::block_in_place(|| program.ended()), Some(0));
    p.wait_for("the end", |m| !m.stream_errors.is_empty()).await;
    assert_eq!(p.state().targets.len(), 2, "it keeps what it has");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_a_client_authority_only_its_certificates_come_in() {
    let (_nodes, discovery) = nodes(1).await;
    let mut authority = rcgen::CertificateParams::new(Vec::<String>::new()).expect("sound");
    authority.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let key = rcgen::KeyPair::generate().expect("a key");
    let ca = authority.self_signed(&key).expect("signed");
    let issuer = rcgen::Issuer::new(authority, key);
    let issue = |name: &str| {
        let key = rcgen::KeyPair::generate().expect("a key");
        let params = rcgen::CertificateParams::new(vec![name.to_string()]).expect("sound");
        let certificate = params.signed_by(&key, &issuer).expect("signed");
        (certificate.pem(), key.serialize_pem())
    };
    let (server, client) = (issue("localhost"), issue("edge"));
    let paths = [&server.0, &server.1, &ca.pem()].map(|pem| stubs::file(pem).display().to_string());
    let tls = format!(
        "[control.tls]\ncertificate = \"{}\"\nkey = \"{}\"\nclient_ca = \"{}\"\n",
        paths[0], paths[1], paths[2]
    );
    let running = start(prepare(&file(&discovery, &tls)).expect("sound")).await.expect("it starts");
    let url = format!("https://localhost:{}", running.address.port());
    let config = || {
        let roots = tonic::transport::Certificate::from_pem(ca.pem());
        tonic::transport::ClientTlsConfig::new().ca_certificate(roots).domain_name("localhost")
    };
    let identity = tonic::transport::Identity::from_pem(&client.0, &client.1);
    for (config, welcome) in [(config().identity(identity), true), (config(), false)] {
        let endpoint = tonic::transport::Endpoint::from_shared(url.clone()).expect("an address");
        let channel = endpoint.tls_config(config).expect("sound").connect().await;
        let answer = match channel {
            Ok(channel) => starlinghill_testkit::proxy::request_clusters(channel, "whole").await,
            Err(e) => Err(tonic::Status::unavailable(e.to_string())),
        };
        assert_eq!(answer.is_ok(), welcome, "{answer:?}");
    }
    // Without encryption nothing comes in at all.
    let plain = Proxy::start(Settings::new(running.address, "whole", XdsVariant::StateOfTheWorld));
    plain.wait_for("its failure", |m| !m.stream_errors.is_empty()).await;
    assert!(plain.state().targets.is_empty());
}
