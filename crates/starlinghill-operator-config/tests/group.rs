//! Tests of the section `[group]`.

use starlinghill_failover::bounds::Timing;
use starlinghill_operator_config::{parse, Group, Problem};
use std::path::Path;

const VALID: &str = "[group]\nname = \"campus\"\nregions = [\"east\"]\nmembers = [\n  \
    {id = 1, listen = \"127.0.0.1:7301\"},\n  {id = 2, listen = \"127.0.0.1:7302\"},\n  \
    {id = 3, listen = \"127.0.0.1:7303\"},\n]\nzones = [\n  {name = \"e1\", region = \"east\"},\n]\n";

fn read(text: &str) -> Result<Group, Vec<String>> {
    let messages = |problems: Vec<Problem>| problems.iter().map(Problem::to_string).collect::<Vec<_>>();
    Ok(parse("ops.toml", text, Path::new("/etc/starlinghill"))
        .map_err(messages)?
        .group
        .expect("the section is present"))
}

#[test]
fn the_defaults_of_absent_keys_are_consistent() {
    let group = read(VALID).expect("the file is valid");
    assert_eq!((group.generation, group.map.floor, group.timing), (1, 500, Timing::default()));
    assert_eq!(group.file(2), Path::new("/etc/starlinghill/group/member-2.redb"));
    assert_eq!(group.timing.problems(), []);
    assert!(group.timing.max_connected_age() < group.timing.fresh_limit);
}

#[test]
fn each_error_names_the_line_the_key_and_the_expected_value() {
    let cases = [
        ("name = \"campus\"", "name = \"cam pus\"", "ops.toml:2: group.name: expected a name of 1 to 64"),
        (
            "{id = 2, listen = \"127.0.0.1:7302\"},",
            "",
            "group.members: expected 1, 3, 5 or 7 members, found 2",
        ),
        (
            "id = 2",
            "id = 1",
            "ops.toml:6: group.members.id: expected a number from 1 to 1000000, each once, found 1",
        ),
        ("127.0.0.1:7302", "10.0.0.1:7302", "ops.toml:6: group.members.listen: expected a loopback address"),
        ("name = \"campus\"", "name = \"campus\"\nnetwork = \"open\"", "ops.toml:3: group.network: expected"),
        ("127.0.0.1:7302", "127.0.0.1:7301", "ops.toml:6: group.members.listen: expected each address once"),
        ("127.0.0.1:7302", "nowhere", "ops.toml:6: group.members.listen: expected an address and a port"),
        ("region = \"east\"", "region = \"west\"", "zone 'e1': expected one of the regions, found 'west'"),
        (
            "region = \"east\"}",
            "region = \"east\", capacity = 0}",
            "group.zones.capacity: expected a whole number",
        ),
        ("region = \"east\"}", "region = \"east\", colour = 1}", "unknown field `colour`"),
        (
            "name = \"campus\"",
            "name = \"campus\"\nfloor_percent = 101",
            "ops.toml:3: group.floor_percent: expected",
        ),
        ("name = \"campus\"", "name = \"campus\"\ngeneration = 0", "ops.toml:3: group.generation: expected"),
    ];
    for (from, to, expected) in cases {
        let text = VALID.replacen(from, to, 1);
        assert_ne!(text, VALID);
        let found = read(&text).expect_err("the file is invalid");
        assert!(found.iter().any(|line| line.contains(expected)), "{expected}: {found:?}");
    }
}

#[test]
fn members_may_listen_beyond_loopback_only_if_the_network_is_declared_private() {
    let not_loopback = VALID.replace("127.0.0.1:7302", "10.0.0.1:7302");
    let loopback = not_loopback.replace("name = \"campus\"", "name = \"campus\"\nnetwork = \"loopback\"");
    assert!(read(&not_loopback).is_err() && read(&loopback).is_err());
    let private = not_loopback.replace("name = \"campus\"", "name = \"campus\"\nnetwork = \"private\"");
    let group = read(&private).expect("the file is valid");
    assert!(group.private_network && !group.members[1].listen.ip().is_loopback());
    let unspecified = private.replace("10.0.0.1:7302", "0.0.0.0:7302");
    let expected = "ops.toml:7: group.members.listen: expected an address at which the others reach it";
    assert!(read(&unspecified).expect_err("the file is invalid")[0].contains(expected));
}

#[test]
fn inconsistent_times_are_refused_with_the_value_that_would_be_accepted() {
    let timing = |line: &str| {
        read(&format!("{VALID}[group.timing]\n{line}\n")).expect_err("the file is invalid").join("\n")
    };
    assert!(timing("fresh_ms = 300").contains("group.timing.fresh_ms: expected fresh_ms of 715 at least"));
    assert!(timing("stale_ms = 2000").contains("group.timing.stale_ms: expected stale_ms above fresh_ms"));
    assert!(timing("heartbeat_ms = 400")
        .contains("group.timing.election_ms: expected election_ms of three times"));
}
