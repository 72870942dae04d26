//! The classes of requests as they change while a gateway runs: each keeps its place for good.

use crate::NamedSettings;
use starlinghill_decision::api::{Class, ClassId, Rules, SettingsError};
use std::collections::BTreeMap;

/// The most places. Guards memory against a file that is changed without end; the next start begins anew.
const MOST_PLACES: usize = 10_000;

/// Classes by name, and the rules at each place. A place never changes, as an open request may have it.
#[derive(Debug, Clone)]
pub struct Classes {
    places: Vec<Class>,
    names: BTreeMap<String, ClassId>,
}

impl Classes {
    /// Those of the settings at the start.
    pub fn new(site: &NamedSettings) -> Classes {
        let names = site.classes.iter().map(|(name, &at)| (name.clone(), ClassId(at))).collect();
        Classes { places: site.settings.classes.clone(), names }
    }

    /// Takes over the classes of new settings, and returns what the decision module is to be told. A class that is as one
    /// was before gets its place; any other gets a new one. After an error all is as it was.
    pub fn update(&mut self, new: &NamedSettings) -> Result<Rules, SettingsError> {
        new.settings.check()?;
        let mut places = self.places.clone();
        let mut names = BTreeMap::new();
        for (name, &at) in &new.classes {
            let class = &new.settings.classes[at];
            let place = places.iter().position(|held| held == class).unwrap_or(places.len());
            if place == places.len() {
                places.push(class.clone());
            }
            names.insert(name.clone(), ClassId(place));
        }
        if places.len() > MOST_PLACES {
            let text = format!("classes: expected at most {MOST_PLACES} different ones between two starts");
            return Err(SettingsError(text));
        }
        (self.places, self.names) = (places.clone(), names);
        Ok(Rules { classes: places, max_attempts: new.settings.max_attempts, common: None })
    }

    /// The classes by name.
    pub fn by_name(&self) -> impl Iterator<Item = (&str, ClassId, &Class)> {
        self.names.iter().map(|(name, &id)| (name.as_str(), id, &self.places[id.0]))
    }
}
