//! Good and bad sections `[group]`.

use starlinghill_failover::bounds::Timing;
use starlinghill_operator_config::{parse, Group, Problem};
use std::path::Path;

const GOOD: &str = "[group]\nname = \"campus\"\nregions = [\"east\"]\nmembers = [\n  \
    {id = 1, listen = \"127.0.0.1:7301\"},\n  {id = 2, listen = \"127.0.0.1:7302\"},\n  \
    {id = 3, listen = \"127.0.0.1:7303\"},\n]\nzones = [\n  {name = \"e1\", region = \"east\"},\n]\n";

fn read(text: &str) -> Result<Group, Vec<String>> {
    let told = |problems: Vec<Problem>| problems.iter().map(Problem::to_string).collect::<Vec<_>>();
    Ok(parse("ops.toml", text, Path::new("/etc/starlinghill")).map_err(told)?.group.expect("a group"))
}

#[test]
fn what_is_not_said_has_defaults_that_fit_together() {
    let group = read(GOOD).expect("sound");
    assert_eq!((group.generation, group.map.floor, group.timing), (1, 500, Timing::default()));
    assert_eq!(group.file(2), Path::new("/etc/starlinghill/group/member-2.redb"));
    assert_eq!(group.timing.problems(), []);
    assert!(group.timing.max_connected_age() < group.timing.fresh_limit);
}

#[test]
fn each_mistake_is_told_with_line_key_found_and_allowed() {
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
    for (from, to, wanted) in cases {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD);
        let found = read(&text).expect_err("it is wrong");
        assert!(found.iter().any(|line| line.contains(wanted)), "{wanted}: {found:?}");
    }
}

#[test]
fn members_listen_beyond_this_machine_only_where_operators_say_that_the_network_is_theirs() {
    let beyond = GOOD.replace("127.0.0.1:7302", "10.0.0.1:7302");
    let loopback = beyond.replace("name = \"campus\"", "name = \"campus\"\nnetwork = \"loopback\"");
    assert!(read(&beyond).is_err() && read(&loopback).is_err());
    let private = beyond.replace("name = \"campus\"", "name = \"campus\"\nnetwork = \"private\"");
    let group = read(&private).expect("sound");
    assert!(group.private && !group.members[1].listen.ip().is_loopback());
    let anywhere = private.replace("10.0.0.1:7302", "0.0.0.0:7302");
    let wanted = "ops.toml:7: group.members.listen: expected an address at which the others reach it";
    assert!(read(&anywhere).expect_err("it is wrong")[0].contains(wanted));
}

#[test]
fn times_that_do_not_fit_together_are_refused_with_what_would() {
    let timing =
        |what: &str| read(&format!("{GOOD}[group.timing]\n{what}\n")).expect_err("it is wrong").join("\n");
    assert!(timing("fresh_ms = 300").contains("group.timing.fresh_ms: expected fresh_ms of 715 at least"));
    assert!(timing("stale_ms = 2000").contains("group.timing.stale_ms: expected stale_ms above fresh_ms"));
    assert!(timing("heartbeat_ms = 400")
        .contains("group.timing.election_ms: expected election_ms of three times"));
}
