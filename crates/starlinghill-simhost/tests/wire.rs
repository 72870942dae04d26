//! The adapter's replies to valid input, and its errors on invalid input.

use starlinghill_simhost::Host;
use std::io::Write;
use std::process::{Command, Stdio};

const START: &str = "START rng_seed=5 balancers=2 my_number=1 classes.count=1 classes.0.name=view \
    classes.0.deadline=3000000 classes.0.on_time=750000 classes.0.effect=pure plans.count=1 plans.0.name=p \
    plans.0.per_second=10.0 plans.0.peak_units=20.0 specifics.counter=true specifics.count_limit=80000 \
    bounds.max_attempts=3 unheard.of=7 zone=a zones=a,b";
const LIST: &str = "FLEET gen=1 scope=warm_copy items=1\n\
    ITEM backend=10.0.0.1:80 rack_zone=a model=m pod=0 status=in_service heft=1";

/// Feeds lines to a new host, and returns the replies of all batches.
fn replies_to(text: &str) -> Result<Vec<String>, String> {
    let mut host = Host::default();
    let mut replies = Vec::new();
    for line in text.lines() {
        replies.extend(host.handle_line(line).map_err(|e| e.0)?);
    }
    host.finish().map_err(|e| e.0)?;
    Ok(replies)
}

/// The same for lines that follow the start of instance 3 and its backend list, in the same batch.
fn replies_after_start(rest: &str) -> Result<Vec<String>, String> {
    replies_to(&format!("TICK now=1000000\nFOR who=3\n{START}\n{LIST}\n{rest}"))
}

const KNOCK: &str =
    "KNOCK ref=9 kind=view user_key=91f03b7c55d20a64 doors=2 plan=p drop_dead=3000000 price_units=2";

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    assert_eq!(replies_to("TICK now=5\nFLUSH").unwrap(), ["EOR\n"]);
}

#[test]
fn a_request_is_routed_after_the_counter_has_confirmed_its_units() {
    let replies = replies_after_start(&format!("{KNOCK}\nFLUSH")).unwrap();
    let add = replies[0]
        .lines()
        .find(|l| l.starts_with("ADD_AND_GET") && l.contains("amount=2"))
        .expect("an ADD_AND_GET line");
    assert!(replies[0].starts_with("AS who=3\n") && replies[0].ends_with("EOR\n"));
    let book = add.split(' ').find(|p| p.starts_with("book=")).unwrap();
    let answer = format!("COUNT_RESULT {book} how=200 result_value=2 took=900");
    let replies = replies_after_start(&format!(
        "{KNOCK}\nFLUSH\nTICK now=1002000\nFOR who=3\nSOMETHING_NEW a=1\n{answer}\nFLUSH"
    ))
    .unwrap();
    assert!(replies[1].contains("ROUTE ref=9 backend=10.0.0.1:80 abandon_at="), "{}", replies[1]);
}

#[test]
fn the_reply_has_no_actions_of_an_instance_that_went_down() {
    let replies = replies_after_start(&format!("{KNOCK}\nDOWN\n{KNOCK}\nFLUSH")).unwrap();
    assert_eq!(replies, ["EOR\n"]);
}

#[test]
fn an_invalid_line_gives_a_one_line_error_that_names_line_and_field() {
    let cases = [
        ("KNOCK ref=x", "kind"),
        ("KNOCK ref=9 kind=view plan=p user_key=zz price_units=2", "user_key"),
        ("KNOCK ref=9 kind=nope plan=p user_key=1", "a known class"),
        ("KNOCK ref=99999999999999999999999 kind=view plan=p user_key=1", "ref"),
        ("KNOCK ref=9 kind=view plan=p user_key=1 price_units=-1", "price_units"),
        ("OUTCOME ref=9 backend=10.0.0.1:80 how=777", "how"),
        ("RING", "ref"),
        ("RING ref", "name=value"),
        ("FLEET scope=odd items=0", "scope"),
        ("FLEET scope=total items=2\nFLUSH", "ITEM"),
        ("ITEM backend=b status=in_service", "FLEET"),
    ];
    for (line, field) in cases {
        let error = replies_after_start(&format!("{line}\nFLUSH")).expect_err(line);
        assert!(error.starts_with("line ") && error.contains(field), "{line}: {error}");
        assert_eq!(error.lines().count(), 1);
    }
    assert!(replies_to("RING ref=1").is_err(), "a line outside a batch is an error");
    assert!(
        replies_to("TICK now=5\nFLUSH\nTICK now=4\nFLUSH").is_err(),
        "a clock that goes back is an error"
    );
    assert!(replies_to("TICK now=5").is_err(), "a batch without FLUSH is an error");
    assert!(replies_to("TICK now=5\nRING ref=1\nFLUSH").is_err(), "an event without FOR is an error");
    let invalid = START.replace("balancers=2", "balancers=0");
    assert!(replies_to(&format!("TICK now=1\nFOR who=1\n{invalid}\nFLUSH")).is_err());
}

#[test]
fn on_an_invalid_line_the_program_fails_with_one_line_on_standard_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_starlinghill-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    child.stdin.take().expect("piped").write_all(b"TICK now=1\nFLUSH\nTICK now=abc\n").expect("it reads");
    let done = child.wait_with_output().expect("it ends");
    assert!(!done.status.success());
    assert_eq!(done.stdout, b"EOR\n");
    let error = String::from_utf8(done.stderr).expect("plain text");
    assert_eq!(error.lines().count(), 1, "{error}");
    assert!(error.contains("line 3") && error.contains("now"));
}
