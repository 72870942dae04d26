//! Tests of the section `[control]` and of errors in operators' files.

use starlinghill_operator_config::{parse, OperatorConfig, Problem};
use std::path::Path;
use std::time::Duration;

fn read(text: &str) -> Result<OperatorConfig, Vec<Problem>> {
    parse("ops.toml", text, Path::new("/etc/starlinghill"))
}

fn problems(text: &str) -> Vec<String> {
    read(text).expect_err("the file is invalid").iter().map(Problem::to_string).collect()
}

const SMALLEST: &str = "[control]\nlisten = \"127.0.0.1:0\"\nplatform = \"config.json\"\n";

#[test]
fn an_absent_section_turns_its_feature_off() {
    assert_eq!(read("").expect("the file is valid").control, None);
    let control = read(SMALLEST).expect("the file is valid").control.expect("the section is present");
    assert_eq!(control.platform, Path::new("/etc/starlinghill/config.json"));
    assert!(control.quotas.is_none() && control.tls.is_none() && control.proxies.is_empty());
}

#[test]
fn proxies_tls_quotas_and_limits_are_read() {
    let text = format!(
        "{SMALLEST}[[control.proxies]]\nid = \"edge-1\"\nlisten = \"127.0.0.1:8080\"\n[[control.proxies]]\nid = \
        \"edge-2\"\n[control.tls]\ncertificate = \"c.pem\"\nkey = \"/k.pem\"\n[control.quotas]\nlease_ms = 3000\n\
        [control.limits]\nstreams = 7\n"
    );
    let control = read(&text).expect("the file is valid").control.expect("the section is present");
    assert_eq!(control.proxies.len(), 2);
    assert_eq!(control.proxies[0].listen, Some(([127, 0, 0, 1], 8080).into()));
    let tls = control.tls.expect("the section is present");
    assert_eq!(
        (tls.certificate.to_str(), tls.key.to_str()),
        (Some("/etc/starlinghill/c.pem"), Some("/k.pem"))
    );
    let quotas = control.quotas.expect("the section is present");
    assert_eq!((quotas.lease, quotas.customer_header.as_str()), (Duration::from_secs(3), "x-customer"));
    assert_eq!(control.limits.streams, 7);
}

#[test]
fn each_error_is_one_line_with_the_file_the_line_and_the_key() {
    let cases = [
        ("[control]\nlisten = 5\n", "ops.toml:2: listen: invalid type: integer `5`, expected a string"),
        ("[contrl]\n", "ops.toml:1: [contrl]: unknown field `contrl`, expected `control`"),
        ("[control\n", "ops.toml:1: [control: "),
    ];
    for (text, expected) in cases {
        let found = problems(text);
        assert!(found.len() == 1 && found[0].starts_with(expected), "{found:?}");
    }
    let text = "[control]\nlisten = \"here\"\nattempts_out = 0\n\n[[control.proxies]]\nid = \"\"\n[[control.proxies]]\n\
        id = \"a\"\n[[control.proxies]]\nid = \"a\"\n[control.quotas]\nlease_ms = 300\nplan_header = \"X Plan\"\n";
    assert_eq!(
        problems(text),
        [
            "ops.toml:1: control.platform: expected the path of the platform's configuration, found nothing",
            "ops.toml:2: control.listen: expected an address and a port such as 127.0.0.1:18000, found 'here'",
            "ops.toml:6: control.proxies.id: expected 1 to 128 visible ASCII characters, found ''",
            "ops.toml:10: control.proxies.id: expected each id once, found 'a' again",
            "ops.toml:13: control.quotas.plan_header: expected a header's name in lower case, found 'X Plan'",
            "ops.toml:12: control.quotas.lease_ms: expected three times interval_ms at least (750), found 300",
            "ops.toml:3: control.attempts_out: expected a whole number from 1 to 10000, found 0",
        ]
    );
}

#[test]
fn without_tls_only_a_loopback_address_is_accepted() {
    let public = SMALLEST.replace("127.0.0.1:0", "0.0.0.0:18000");
    assert_eq!(
        problems(&public),
        ["ops.toml:2: control.listen: expected a loopback address where there is no [control.tls], found 0.0.0.0"]
    );
    assert!(read(&format!("{public}[control.tls]\ncertificate = \"c\"\nkey = \"k\"\n")).is_ok());
}

#[test]
fn the_error_for_a_missing_file_names_the_file() {
    let problems = starlinghill_operator_config::read(Path::new("no/such/file.toml"))
        .expect_err("the file does not exist");
    assert!(problems[0].to_string().starts_with("no/such/file.toml: "), "{}", problems[0]);
}

#[test]
fn the_example_file_in_deploy_enables_nothing_and_its_commented_settings_are_valid() {
    let text = include_str!("../../../deploy/operators.toml");
    assert_eq!(read(text).expect("the file is valid").control, None);
    let examples: Vec<&str> =
        text.lines().filter_map(|line| line.strip_prefix("#:")).map(str::trim).collect();
    let control =
        read(&examples.join("\n")).expect("the file is valid").control.expect("the section is present");
    assert!(control.tls.is_some() && control.quotas.is_some() && control.proxies.len() == 1);
}

/// Guards against a file that ends the process by an overflow of the stack.
#[test]
fn a_file_that_is_nested_very_deeply_is_refused() {
    for (open, close) in [("[", "]"), ("{a=", "}")] {
        let text = format!("x = {}1{}\n{SMALLEST}", open.repeat(50_000), close.repeat(50_000));
        assert!(read(&text).is_err());
    }
}
