//! Good and bad operators' files.

use starlinghill_operator_config::{parse, Operators, Problem};
use std::path::Path;
use std::time::Duration;

fn read(text: &str) -> Result<Operators, Vec<Problem>> {
    parse("ops.toml", text, Path::new("/etc/starlinghill"))
}

fn problems(text: &str) -> Vec<String> {
    read(text).expect_err("it is wrong").iter().map(Problem::to_string).collect()
}

const LEAST: &str = "[control]\nlisten = \"127.0.0.1:0\"\nplatform = \"config.json\"\n";

#[test]
fn nothing_said_turns_nothing_on() {
    assert_eq!(read("").expect("sound").control, None);
    let control = read(LEAST).expect("sound").control.expect("on");
    assert_eq!(control.platform, Path::new("/etc/starlinghill/config.json"));
    assert!(control.quotas.is_none() && control.tls.is_none() && control.proxies.is_empty());
}

#[test]
fn all_is_read() {
    let text = format!(
        "{LEAST}[[control.proxies]]\nid = \"edge-1\"\nlisten = \"127.0.0.1:8080\"\n[[control.proxies]]\nid = \
        \"edge-2\"\n[control.tls]\ncertificate = \"c.pem\"\nkey = \"/k.pem\"\n[control.quotas]\nlease_ms = 3000\n\
        [control.limits]\nstreams = 7\n"
    );
    let control = read(&text).expect("sound").control.expect("on");
    assert_eq!(control.proxies.len(), 2);
    assert_eq!(control.proxies[0].listen, Some(([127, 0, 0, 1], 8080).into()));
    let tls = control.tls.expect("on");
    assert_eq!(
        (tls.certificate.to_str(), tls.key.to_str()),
        (Some("/etc/starlinghill/c.pem"), Some("/k.pem"))
    );
    let quotas = control.quotas.expect("on");
    assert_eq!((quotas.lease, quotas.customer_header.as_str()), (Duration::from_secs(3), "x-customer"));
    assert_eq!(control.limits.streams, 7);
}

#[test]
fn each_error_is_one_line_with_file_line_and_key() {
    let cases = [
        ("[control]\nlisten = 5\n", "ops.toml:2: listen: invalid type: integer `5`, expected a string"),
        ("[contrl]\n", "ops.toml:1: [contrl]: unknown field `contrl`, expected `control`"),
        ("[control\n", "ops.toml:1: [control: "),
    ];
    for (text, wanted) in cases {
        let found = problems(text);
        assert!(found.len() == 1 && found[0].starts_with(wanted), "{found:?}");
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
fn without_encryption_only_loopback_is_listened_on() {
    let open = LEAST.replace("127.0.0.1:0", "0.0.0.0:18000");
    assert_eq!(
        problems(&open),
        ["ops.toml:2: control.listen: expected a loopback address where there is no [control.tls], found 0.0.0.0"]
    );
    assert!(read(&format!("{open}[control.tls]\ncertificate = \"c\"\nkey = \"k\"\n")).is_ok());
}

#[test]
fn a_file_that_is_not_there_is_told_by_its_name() {
    let problems = starlinghill_operator_config::read(Path::new("no/such/file.toml")).expect_err("not there");
    assert!(problems[0].to_string().starts_with("no/such/file.toml: "), "{}", problems[0]);
}

#[test]
fn the_file_under_deploy_turns_nothing_on_and_its_examples_are_sound() {
    let text = include_str!("../../../deploy/operators.toml");
    assert_eq!(read(text).expect("sound").control, None);
    let on: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("#:")).map(str::trim).collect();
    let control = read(&on.join("\n")).expect("sound").control.expect("on");
    assert!(control.tls.is_some() && control.quotas.is_some() && control.proxies.len() == 1);
}
