//! Classes that change while a gateway runs.

use starlinghill_decision::api::{ClassId, Effect};
use starlinghill_settings::classes::Classes;
use starlinghill_settings::NamedSettings;

fn site(classes: &[(&str, &str, u64)], max_attempts: u64) -> NamedSettings {
    let classes: Vec<_> = classes
        .iter()
        .map(|(name, effect, deadline)| serde_json::json!({"name": name, "effect": effect, "deadline": deadline}))
        .collect();
    let json = serde_json::json!({"balancers": 1, "my_number": 0, "classes": classes, "bounds": {"max_attempts": max_attempts}});
    NamedSettings::from_json(&json).expect("sound")
}

fn place(classes: &Classes, name: &str) -> Option<ClassId> {
    classes.by_name().find(|(known, ..)| *known == name).map(|(_, id, _)| id)
}

#[test]
fn what_stays_as_it_is_keeps_its_place_and_what_changes_gets_a_new_one() {
    let mut classes = Classes::new(&site(&[("load", "pure", 4), ("buy", "token", 8)], 3));
    let (load, buy) = (place(&classes, "load"), place(&classes, "buy"));
    // Another order, one dropped, one changed, one new.
    let rules = classes.update(&site(&[("new", "side_effect", 5), ("load", "pure", 6)], 2)).expect("sound");
    assert_eq!(rules.max_attempts, 2);
    assert_eq!(place(&classes, "buy"), None);
    let (new, changed) = (place(&classes, "new").expect("there"), place(&classes, "load").expect("there"));
    assert!(Some(changed) != load && ![load, buy].contains(&Some(new)));
    assert_eq!(rules.classes[new.0].effect, Effect::Unsafe);
    assert_eq!(rules.classes[changed.0].deadline.0, 6);
    assert_eq!(rules.classes[load.expect("there").0].deadline.0, 4, "open requests may still have it");
    // Back again: no new places for what there was.
    let rules = classes.update(&site(&[("load", "pure", 4), ("buy", "token", 8)], 3)).expect("sound");
    assert_eq!((place(&classes, "load"), place(&classes, "buy")), (load, buy));
    assert_eq!(rules.classes.len(), 4);
}

#[test]
fn settings_without_sense_or_without_end_change_nothing() {
    let mut classes = Classes::new(&site(&[("load", "pure", 4)], 3));
    assert!(classes.update(&site(&[("load", "pure", 0)], 3)).is_err(), "a deadline of 0");
    assert!(classes.update(&site(&[("load", "pure", 4)], 0)).is_err(), "no attempt");
    let mut taken = 0;
    let refused = (0..20_000u64).find(|i| {
        let names: Vec<String> = (0..1_000).map(|n| format!("c{n}")).collect();
        let many: Vec<_> =
            names.iter().zip(0..).map(|(n, j)| (n.as_str(), "pure", 1 + i * 1_000 + j)).collect();
        taken += 1;
        classes.update(&site(&many, 3)).is_err()
    });
    assert!(refused.is_some() && taken <= 11, "bounded");
    assert!(place(&classes, "c0").is_some(), "the last that could be taken stays");
}
