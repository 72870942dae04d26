//! Changes of classes while a gateway runs.

use starlinghill_decision::api::{ClassId, Effect};
use starlinghill_settings::classes::Classes;
use starlinghill_settings::NamedSettings;

fn settings(classes: &[(&str, &str, u64)], max_attempts: u64) -> NamedSettings {
    let classes: Vec<_> = classes
        .iter()
        .map(|(name, effect, deadline)| serde_json::json!({"name": name, "effect": effect, "deadline": deadline}))
        .collect();
    let json = serde_json::json!({"balancers": 1, "my_number": 0, "classes": classes, "bounds": {"max_attempts": max_attempts}});
    NamedSettings::from_json(&json).expect("valid settings")
}

fn index_of(classes: &Classes, name: &str) -> Option<ClassId> {
    classes.by_name().find(|(known, ..)| *known == name).map(|(_, id, _)| id)
}

#[test]
fn an_unchanged_class_keeps_its_index_and_a_changed_one_gets_a_new_index() {
    let mut classes = Classes::new(&settings(&[("load", "pure", 4), ("buy", "token", 8)], 3));
    let (load, buy) = (index_of(&classes, "load"), index_of(&classes, "buy"));
    // In another order, with one class dropped, one changed and one added.
    let rules = classes
        .update(&settings(&[("new", "side_effect", 5), ("load", "pure", 6)], 2))
        .expect("valid settings");
    assert_eq!(rules.max_attempts, 2);
    assert_eq!(index_of(&classes, "buy"), None);
    let (new, changed) =
        (index_of(&classes, "new").expect("present"), index_of(&classes, "load").expect("present"));
    assert!(Some(changed) != load && ![load, buy].contains(&Some(new)));
    assert_eq!(rules.classes[new.0].effect, Effect::Unsafe);
    assert_eq!(rules.classes[changed.0].deadline.0, 6);
    assert_eq!(rules.classes[load.expect("present").0].deadline.0, 4, "open requests may still have it");
    // The earlier classes get their earlier indices.
    let rules =
        classes.update(&settings(&[("load", "pure", 4), ("buy", "token", 8)], 3)).expect("valid settings");
    assert_eq!((index_of(&classes, "load"), index_of(&classes, "buy")), (load, buy));
    assert_eq!(rules.classes.len(), 4);
}

#[test]
fn invalid_settings_and_too_many_classes_change_nothing() {
    let mut classes = Classes::new(&settings(&[("load", "pure", 4)], 3));
    assert!(classes.update(&settings(&[("load", "pure", 0)], 3)).is_err(), "a deadline of 0");
    assert!(classes.update(&settings(&[("load", "pure", 4)], 0)).is_err(), "no attempt");
    let mut taken = 0;
    let refused = (0..20_000u64).find(|i| {
        let names: Vec<String> = (0..1_000).map(|n| format!("c{n}")).collect();
        let many: Vec<_> =
            names.iter().zip(0..).map(|(n, j)| (n.as_str(), "pure", 1 + i * 1_000 + j)).collect();
        taken += 1;
        classes.update(&settings(&many, 3)).is_err()
    });
    assert!(refused.is_some() && taken <= 11, "bounded");
    assert!(index_of(&classes, "c0").is_some(), "the last accepted classes stay");
}
