//! Tests of the operators' program: its commands, its signals, and TLS.

mod common;

use common::{file, nodes};
use starlinghill_control::{prepare, start};
use starlinghill_testkit::proxy::{Proxy, Settings, XdsVariant};
use starlinghill_testkit::stubs::{self, Node};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_starlinghill-control");

/// The command's stdout and stderr.
fn output_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).to_string() + &String::from_utf8_lossy(&output.stderr)
}

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("it runs")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn check_prints_one_line_for_each_error_with_file_and_line() {
    let (_nodes, discovery) = nodes(1).await;
    let good = file(&discovery, "[control.quotas]\nplans = [\"team\"]\n");
    let output = run(&["check", good.to_str().expect("text")]);
    assert!(output.status.success(), "{}", output_text(&output));

    let path = file(&discovery, "[control.quotas]\nplans = [\n  \"team\",\n  \"gold\",\n]\n");
    let output = run(&["check", path.to_str().expect("text")]);
    let line = std::fs::read_to_string(&path)
        .expect("text")
        .lines()
        .position(|l| l.contains("gold"))
        .expect("there");
    let expected = format!(
        "{}:{}: control.quotas.plans: expected plans of the platform (small, team), found 'gold'\n",
        path.display(),
        line + 1
    );
    assert_eq!((output.status.code(), output_text(&output)), (Some(1), expected));

    let path = file(&discovery, "[control.quotas]\nlease = 7\n");
    let output = run(&["check", path.to_str().expect("text")]);
    assert!(
        output_text(&output).starts_with(&format!("{}:", path.display()))
            && output_text(&output).contains("lease"),
        "{}",
        output_text(&output)
    );
    assert_eq!(output_text(&output).lines().count(), 1);
    assert_eq!(run(&["check", "/no/such/file"]).status.code(), Some(1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn dump_prints_the_configuration_of_a_proxy() {
    let (nodes, discovery) = nodes(2).await;
    let path = file(&discovery, "");
    let path = path.to_str().expect("text");
    let output = run(&["dump", path, "--node", "whole"]);
    let output_json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(output_json["endpoints"][0]["id"], "s-0");
    assert_eq!(output_json["endpoints"][1]["address"], nodes[1].address.to_string());
    assert_eq!(output_json["endpoints"][1]["use"], "healthy");
    assert_eq!(output_json["routes"].as_array().map(Vec::len), Some(3));
    let again = run(&["dump", path, "--node", "whole"]);
    assert_eq!(
        output.stdout, again.stdout,
        "the output must not differ between processes, including the versions"
    );
    let stranger = run(&["dump", path, "--node", "nobody"]);
    assert!(output_text(&stranger).contains("expected 'nobody' among the ids"), "{}", output_text(&stranger));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sighup_reloads_the_file_and_sigterm_leaves_proxies_their_configuration() {
    let (_nodes, discovery) = nodes(2).await;
    let path = file(&discovery, "");
    let mut command = Command::new(PROGRAM);
    command.args(["run", path.to_str().expect("text")]).stderr(std::process::Stdio::piped());
    let mut program = tokio::task::block_in_place(|| Node::spawn(command));
    let p = Proxy::start(Settings::new(program.address, "whole", XdsVariant::Incremental));
    let added_later = Proxy::start(Settings::new(program.address, "late", XdsVariant::StateOfTheWorld));
    p.wait_for("both servers", |m| m.targets.len() == 2).await;
    added_later.wait_for("its refusal", |m| !m.stream_errors.is_empty()).await;
    let text = std::fs::read_to_string(&path).expect("text");
    // An invalid file first: the service keeps its settings.
    std::fs::write(&path, "[control").expect("written");
    program.signal("HUP");
    std::fs::write(&path, text.replace("\"third\"", "\"late\"")).expect("written");
    program.signal("HUP");
    added_later.wait_for("its addition to the list", |m| m.targets.len() == 2).await;
    program.signal("TERM");
    assert_eq!(tokio::task::block_in_place(|| program.ended()), Some(0));
    p.wait_for("the end", |m| !m.stream_errors.is_empty()).await;
    assert_eq!(p.state().targets.len(), 2, "it must keep its last configuration");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_a_client_authority_only_clients_with_its_certificates_are_accepted() {
    let (_nodes, discovery) = nodes(1).await;
    let mut authority = rcgen::CertificateParams::new(Vec::<String>::new()).expect("it is valid");
    authority.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    let key = rcgen::KeyPair::generate().expect("a key");
    let ca = authority.self_signed(&key).expect("signed");
    let issuer = rcgen::Issuer::new(authority, key);
    let issue = |name: &str| {
        let key = rcgen::KeyPair::generate().expect("a key");
        let params = rcgen::CertificateParams::new(vec![name.to_string()]).expect("it is valid");
        let certificate = params.signed_by(&key, &issuer).expect("signed");
        (certificate.pem(), key.serialize_pem())
    };
    let (server, client) = (issue("localhost"), issue("edge"));
    let paths = [&server.0, &server.1, &ca.pem()].map(|pem| stubs::file(pem).display().to_string());
    let tls = format!(
        "[control.tls]\ncertificate = \"{}\"\nkey = \"{}\"\nclient_ca = \"{}\"\n",
        paths[0], paths[1], paths[2]
    );
    let running =
        start(prepare(&file(&discovery, &tls)).expect("it is valid")).await.expect("the service starts");
    let url = format!("https://localhost:{}", running.address.port());
    let config = || {
        let roots = tonic::transport::Certificate::from_pem(ca.pem());
        tonic::transport::ClientTlsConfig::new().ca_certificate(roots).domain_name("localhost")
    };
    let identity = tonic::transport::Identity::from_pem(&client.0, &client.1);
    for (config, accepted) in [(config().identity(identity), true), (config(), false)] {
        let endpoint = tonic::transport::Endpoint::from_shared(url.clone()).expect("an address");
        let channel = endpoint.tls_config(config).expect("it is valid").connect().await;
        let answer = match channel {
            Ok(channel) => starlinghill_testkit::proxy::request_clusters(channel, "whole").await,
            Err(e) => Err(tonic::Status::unavailable(e.to_string())),
        };
        assert_eq!(answer.is_ok(), accepted, "{answer:?}");
    }
    // A connection without TLS is refused.
    let plain = Proxy::start(Settings::new(running.address, "whole", XdsVariant::StateOfTheWorld));
    plain.wait_for("its failure", |m| !m.stream_errors.is_empty()).await;
    assert!(plain.state().targets.is_empty());
}
